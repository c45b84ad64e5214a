/** What a task needs of a worker and what a worker has, as whole numbers so that sums are exact. */

/** An amount of each resource that is handed out. */
export interface Resources {
    /** Thousandths of a processor. */
    readonly cpuMillis: number;
    /** Mebibytes of memory. */
    readonly memoryMib: number;
    /** Whole accelerators. */
    readonly accelerators: number;
}

/** No resources. */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };

/**
 * Adds two amounts.
 * @returns The sum, dimension by dimension.
 */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis + right.cpuMillis,
        memoryMib: left.memoryMib + right.memoryMib,
        accelerators: left.accelerators + right.accelerators,
    };
}

/**
 * Takes one amount from another.
 * @returns The difference, which may be negative in a dimension.
 */
export function removeResources(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: left.cpuMillis - right.cpuMillis,
        memoryMib: left.memoryMib - right.memoryMib,
        accelerators: left.accelerators - right.accelerators,
    };
}

/**
 * Tells whether a need fits into what is free, in every dimension.
 * @param need - What is asked for.
 * @param free - What is left.
 */
export function isWithin(need: Resources, free: Resources): boolean {
    return need.cpuMillis <= free.cpuMillis &&
        need.memoryMib <= free.memoryMib &&
        need.accelerators <= free.accelerators;
}
