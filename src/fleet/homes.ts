/** The sizes and routes of the two homes that opalstair is built for, as its stand-ins take them. */
export interface Home {
  readonly machines: number;
  readonly zones: number;
  readonly slots: number;
  readonly ordersPerSecond: number;
  readonly services: readonly { readonly name: string; readonly endpoints: number }[];
  readonly manifest: {
    readonly services: readonly { readonly name: string }[];
    readonly bindings: readonly { readonly id: string; readonly service: string; readonly prefix: string; readonly methods?: readonly string[]; readonly cutoffMs?: number }[];
  };
}

const rosarioServices = [{ name: 'line-status', endpoints: 4 }, { name: 'porting', endpoints: 4 }, { name: 'eligibility', endpoints: 4 }];
const glenmorvenServices = [{ name: 'quotes', endpoints: 5 }, { name: 'switching', endpoints: 3 }, { name: 'records', endpoints: 3 }];

export const homes = {
  rosario: {
    machines: 12, zones: 4, slots: 9, ordersPerSecond: 740, services: rosarioServices,
    manifest: {
      services: rosarioServices.map(({ name }) => ({ name })),
      bindings: [
        { id: 'lines', service: 'line-status', prefix: '/lines', methods: ['GET', 'HEAD'], cutoffMs: 2000 },
        { id: 'ports', service: 'porting', prefix: '/ports', cutoffMs: 5000 },
        { id: 'donors', service: 'porting', prefix: '/donors', cutoffMs: 5000 },
        { id: 'holds', service: 'eligibility', prefix: '/holds', cutoffMs: 1500 },
        { id: 'eligible', service: 'eligibility', prefix: '/eligible', methods: ['GET'], cutoffMs: 1000 },
      ],
    },
  },
  glenmorven: {
    machines: 11, zones: 3, slots: 6, ordersPerSecond: 130, services: glenmorvenServices,
    manifest: {
      services: glenmorvenServices.map(({ name }) => ({ name })),
      bindings: [
        { id: 'quotes', service: 'quotes', prefix: '/quotes', methods: ['GET', 'HEAD'], cutoffMs: 3000 },
        { id: 'usage', service: 'quotes', prefix: '/usage', methods: ['GET'], cutoffMs: 3000 },
        { id: 'switches', service: 'switching', prefix: '/switches', cutoffMs: 5000 },
        { id: 'visits', service: 'switching', prefix: '/visits', cutoffMs: 5000 },
        { id: 'readings', service: 'switching', prefix: '/readings', cutoffMs: 5000 },
        { id: 'rates', service: 'records', prefix: '/rates', methods: ['GET'], cutoffMs: 1500 },
      ],
    },
  },
} as const satisfies Readonly<Record<string, Home>>;

export type HomeName = keyof typeof homes;
