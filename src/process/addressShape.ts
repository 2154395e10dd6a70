import Joi from 'joi';
import { Address } from './brands.js';

/** An address that comes from outside, as `ip:port`. */
export const addressShape = Joi.string().max(32).custom((text: string, helpers) =>
  (Address.isValid(text) ? text : helpers.error('any.custom', { error: new Error('must be an IPv4 address and a port, ip:port') })));
