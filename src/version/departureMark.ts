import Joi from 'joi';
import type { InstanceId } from '../process/brands.js';

/** An instance that said that it leaves, or that it is gone: whatever heartbeat comes late, it takes no new request. */
export interface DepartureMark {
  readonly instance: InstanceId;
  readonly state: 'leaving' | 'departed';
}
export const markStates = ['leaving', 'departed'] as const;
export const departureMarkShape = Joi.object({ instance: Joi.string().max(256).required(), state: Joi.string().valid(...markStates).required() });
