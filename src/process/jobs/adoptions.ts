/** Tracks which leader adopted each worker last. */

/** The last adoption of a worker. */
export interface Adoption {
    /** Epoch of the leader that adopted it. */
    readonly epoch: number;
    /** Address of the worker; undefined if only events of earlier versions mention the worker. */
    readonly address: string | undefined;
    /** Whether that leader had stopped extending leases on it before it lost its leadership. */
    readonly isReleased: boolean;
}

/** The last adoption of each worker. */
export class Adoptions {
    private readonly adoptions = new Map<string, Adoption>();

    /** Returns the last adoption of a worker; undefined if unknown. */
    get(workerId: string): Adoption | undefined {
        return this.adoptions.get(workerId);
    }

    /** Lists the known adoptions of the given workers. */
    list(workerIds: ReadonlySet<string>): readonly (readonly [string, Adoption])[] {
        return [...this.adoptions].filter(([workerId]) => workerIds.has(workerId));
    }

    /** Records an adoption; without an address, the one known before is kept. */
    record(workerId: string, epoch: number, address: string | undefined): void {
        const known = this.adoptions.get(workerId)?.address;
        this.adoptions.set(workerId, { epoch, address: address ?? known, isReleased: false });
    }

    /** Records that the leader that adopted a worker has stopped extending leases there. */
    release(workerId: string): void {
        const adoption = this.adoptions.get(workerId);
        if (adoption !== undefined) {
            this.adoptions.set(workerId, { ...adoption, isReleased: true });
        }
    }

    /** Drops the adoptions of all workers except the given ones. */
    dropOthers(workerIds: ReadonlySet<string>): void {
        for (const workerId of [...this.adoptions.keys()]) {
            if (!workerIds.has(workerId)) {
                this.adoptions.delete(workerId);
            }
        }
    }
}
