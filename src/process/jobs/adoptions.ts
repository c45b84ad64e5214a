/** Which leader adopted each worker last. */

/** The last adoption of a worker. */
export interface Adoption {
    /** Of the leader that adopted it. */
    readonly epoch: number;
    /** The worker's; undefined where only an earlier version has told of it. */
    readonly address: string | undefined;
}

/** The adoptions. */
export class Adoptions {
    private readonly adoptions = new Map<string, Adoption>();

    /** Returns the last adoption of a worker; undefined where that is not known. */
    get(workerId: string): Adoption | undefined {
        return this.adoptions.get(workerId);
    }

    /** Lists the adoptions of some workers. */
    list(workerIds: ReadonlySet<string>): readonly (readonly [string, Adoption])[] {
        return [...this.adoptions].filter(([workerId]) => workerIds.has(workerId));
    }

    /** Takes in an adoption; an address that it leaves out stays as it was. */
    record(workerId: string, epoch: number, address: string | undefined): void {
        this.adoptions.set(workerId, { epoch, address: address ?? this.adoptions.get(workerId)?.address });
    }

    /** Drops the adoptions of all other workers. */
    dropOthers(workerIds: ReadonlySet<string>): void {
        for (const workerId of [...this.adoptions.keys()]) {
            if (!workerIds.has(workerId)) {
                this.adoptions.delete(workerId);
            }
        }
    }
}
