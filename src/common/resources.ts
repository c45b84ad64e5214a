/** Resources that tasks demand and workers have, as integers so that sums are exact. */

/** An amount of each resource that workers allocate to tasks. */
export interface Resources {
    /** Thousandths of a processor core. */
    readonly cpuMillis: number;
    /** Mebibytes of memory. */
    readonly memoryMib: number;
    /** Whole accelerators. */
    readonly accelerators: number;
}

/** No resources. */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };

/** Adds two amounts in each dimension. */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis + right.cpuMillis,
        memoryMib: left.memoryMib + right.memoryMib,
        accelerators: left.accelerators + right.accelerators,
    };
}

/** Subtracts `right` from `left` in each dimension; the result may be negative. */
export function removeResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis - right.cpuMillis,
        memoryMib: left.memoryMib - right.memoryMib,
        accelerators: left.accelerators - right.accelerators,
    };
}

/** Returns whether a demand fits into the free amount in every dimension. */
export function isWithin(demand: Resources, free: Resources): boolean {
    return demand.cpuMillis <= free.cpuMillis &&
        demand.memoryMib <= free.memoryMib &&
        demand.accelerators <= free.accelerators;
}

/** Returns how many times a demand fits into an amount; infinite for an empty demand. */
export function countFitting(demand: Resources, available: Resources): number {
    return Math.min(
        countDimension(demand.cpuMillis, available.cpuMillis),
        countDimension(demand.memoryMib, available.memoryMib),
        countDimension(demand.accelerators, available.accelerators),
    );
}

function countDimension(demand: number, available: number): number {
    return demand === 0 ? Infinity : Math.max(0, Math.floor(available / demand));
}
