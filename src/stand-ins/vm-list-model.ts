/** In-memory model of the platform's list of VMs, which lags behind changes. */
import type { Clock, Millis } from "../common/clock.js";
import type { VmRecord, VmState } from "../process/ports/index.js";

interface Snapshot {
    readonly visibleAt: Millis;
    readonly records: readonly VmRecord[];
}

/** A list whose changes become visible after a lag. */
export class VmListModel {
    private readonly vms = new Map<string, VmRecord>();
    private readonly snapshots: Snapshot[] = [];

    /**
     * @param clock - The common clock.
     * @param lagMs - Time from a change until readers see it. A new value applies to later changes of the list.
     */
    constructor(private readonly clock: Clock, public lagMs: Millis = 0) {}

    /** Adds a VM or replaces its record. */
    put(record: VmRecord): void {
        this.vms.set(record.workerId, record);
        this.publish();
    }

    /** Changes the state of a VM; has no effect for an unknown one. */
    setState(workerId: string, state: VmState): void {
        const record = this.vms.get(workerId);
        if (record !== undefined) {
            this.put({ ...record, state });
        }
    }

    /** Removes a VM. */
    remove(workerId: string): void {
        this.vms.delete(workerId);
        this.publish();
    }

    /** Returns the list as a reader sees it now. */
    list(): readonly VmRecord[] {
        const now = this.clock.now();
        while (this.snapshots.length > 1 && (this.snapshots[1]?.visibleAt ?? now + 1) <= now) {
            this.snapshots.shift();
        }
        const first = this.snapshots[0];
        return first !== undefined && first.visibleAt <= now ? first.records : [];
    }

    private publish(): void {
        const last = this.snapshots.at(-1)?.visibleAt ?? 0;
        const visibleAt = Math.max(last, this.clock.now() + this.lagMs);
        this.snapshots.push({ visibleAt, records: [...this.vms.values()] });
    }
}
