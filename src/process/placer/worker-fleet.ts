/**
 * The workers of the slices that this entry owns: their sessions, the slices' readiness, and which are open
 * to new work.
 */
import type { Millis, Timer } from "../../common/clock.js";
import type { SliceStatus } from "../../connection/messages.js";
import type { CellSettings } from "../../version/settings.js";
import { Predecessor } from "../ownership/index.js";
import type { PlacementCore } from "../placement/placement-core.js";
import { type VmListPort, type VmRecord, VmState } from "../ports/vm-list-port.js";
import type { WorkerPort } from "../ports/worker-port.js";
import type { RoleContext, WorkerStatus } from "../roles.js";
import { ORDER_WINDOW_MS } from "./worker-clock.js";
import type { WorkerHealth } from "./worker-health.js";
import { type SessionListener, WorkerSession } from "./worker-session.js";

const LIST_INTERVAL_MS: Millis = 1_000;
const LIST_TIMEOUT_MS: Millis = 2_000;
/** Two entries' reads of the VM list differ in age by at most this; see docs/ASSUMPTIONS.md. */
const LIST_SKEW_MS: Millis = 2_000;

/** Options of {@link WorkerFleet}. */
export interface FleetOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    readonly health: WorkerHealth;
    readonly vmList: VmListPort;
    readonly port: WorkerPort;
    getCell(): CellSettings;
    /** Slice of the VM's rack, or undefined while the ownership table does not list its failure domain. */
    findSlice(vm: VmRecord): number | undefined;
    /** Whether a majority of members has an ownership table of at least this revision. */
    isKnownByMajority(revision: number): boolean;
    readonly listener: SessionListener;
    /** Called when a worker was opened or closed to new work. */
    handleWorkersChange(): void;
    /** Called when the session of a worker is dropped; the worker's tasks may still be running. */
    handleDropped(session: WorkerSession): void;
}

interface SliceState {
    readonly slice: number;
    readonly epoch: number;
    readonly openedAt: Millis;
    readonly revision: number;
    readonly predecessor: Predecessor;
    /** When a majority of members was first known to have the ownership table of `revision`. */
    majorityKnownAt: Millis | undefined;
    /** When the first read of the VM list since the slice was opened began. */
    listedAt: Millis | undefined;
    ready: boolean;
}

/** Maintains a session with each worker of the owned slices. */
export class WorkerFleet {
    private readonly slices = new Map<number, SliceState>();
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly openWorkers = new Set<string>();
    /** Slices in a handover: their workers get no new work. */
    private readonly sealed = new Set<number>();
    /** When this entry first saw each worker in the VM list. */
    private readonly firstSeen = new Map<string, Millis>();
    private vms: readonly VmRecord[] = [];
    private timer: Timer | undefined;
    private polling = false;
    private closed = false;

    constructor(private readonly options: FleetOptions) {}

    start(): void {
        void this.poll();
        this.schedule();
    }

    close(): void {
        this.closed = true;
        this.timer?.cancel();
        this.sessions.forEach(session => session.close());
    }

    openSlice(slice: number, epoch: number, predecessor: Predecessor): void {
        const { context } = this.options;
        this.slices.set(slice, {
            slice,
            epoch,
            openedAt: context.clock.now(),
            revision: context.ownership.getRevision(),
            predecessor,
            majorityKnownAt: undefined,
            listedAt: undefined,
            ready: false,
        });
        this.syncSessions();
        void this.poll();
    }

    /** Closes the workers of a slice to new work; running work continues. */
    sealSlice(slice: number): void {
        this.sealed.add(slice);
        this.sessions.forEach(session => this.refreshOpen(session));
    }

    /** Closes the sessions of a slice. */
    closeSlice(slice: number): void {
        this.slices.delete(slice);
        this.sealed.delete(slice);
        this.syncSessions();
    }

    find(workerId: string): WorkerSession | undefined {
        return this.sessions.get(workerId);
    }

    listSlices(): readonly SliceStatus[] {
        return [...this.slices.values()].map(({ slice, epoch, ready }) => ({ slice, epoch, ready }));
    }

    hasSlice(slice: number, epoch: number): boolean {
        return this.slices.get(slice)?.epoch === epoch;
    }

    /** Whether this entry has a session with any worker of the slice. */
    hasWorkers(slice: number): boolean {
        return [...this.sessions.values()].some(session => session.slice === slice);
    }

    /** Lists the failure domains of the VM list, for the ownership table. */
    listDomains(): readonly string[] {
        return [...new Set(this.vms.map(vm => vm.failureDomain))];
    }

    /** Whether a worker accepts new work. */
    isOpen(session: WorkerSession): boolean {
        return this.sessions.get(session.workerId) === session && this.describeState(session) === "open";
    }

    /** Recomputes whether a worker is open to new work and sets this in the placement core. */
    refreshOpen(session: WorkerSession): void {
        const isOpen = this.isOpen(session);
        this.options.core.setWorkerOpen(session.workerId, isOpen);
        if (isOpen !== this.openWorkers.has(session.workerId)) {
            if (isOpen) {
                this.openWorkers.add(session.workerId);
            }
            else {
                this.openWorkers.delete(session.workerId);
            }
            this.options.handleWorkersChange();
        }
    }

    listWorkers(countTasks: (workerId: string) => number): readonly WorkerStatus[] {
        return [...this.sessions.values()].map(session => {
            const report = session.getReport();
            const capacity = report?.capacity ?? { cpuMillis: 0, memoryMib: 0, accelerators: 0 };
            return {
                workerId: session.workerId,
                rack: session.vm.rack,
                failureDomain: session.vm.failureDomain,
                slice: session.slice,
                state: this.describeState(session),
                slots: report?.slots ?? 0,
                freeSlots: report?.slots ?? 0,
                tasks: countTasks(session.workerId),
                use: report?.foreignUse ?? capacity,
                capacity,
            };
        });
    }

    private describeState(session: WorkerSession): string {
        const report = session.getReport();
        if (report === undefined) {
            return "attaching";
        }
        if (!session.isReachable()) {
            return "unreachable";
        }
        if (this.isNew(session.workerId)) {
            return "new";
        }
        if (this.sealed.has(session.slice)) {
            return "handingOver";
        }
        if (report.leaving || this.isLeaving(session.workerId)) {
            return "leaving";
        }
        if (!report.comparesEpochs && !this.mayUseLeaseOnly(session)) {
            return "attaching";
        }
        return this.options.health.isEjected(session.workerId) ? "ejected" : "open";
    }

    private isLeaving(workerId: string): boolean {
        return this.vms.some(vm => vm.workerId === workerId && vm.state === VmState.leaving);
    }

    /**
     * Whether a worker that does not compare epochs may get new work. It accepts orders of the previous owner
     * until that owner's store lease has ended, so after the loss of an owner new work has to wait that long.
     */
    private mayUseLeaseOnly(session: WorkerSession): boolean {
        const slice = this.slices.get(session.slice);
        if (slice === undefined || slice.predecessor !== Predecessor.lost) {
            return slice !== undefined;
        }
        const cell = this.options.getCell();
        const wait = cell.memberTtlMs * (1 + cell.clockDrift);
        return this.options.context.clock.now() - slice.openedAt > wait;
    }

    private schedule(): void {
        this.timer = this.options.context.clock.schedule(LIST_INTERVAL_MS, () => {
            void this.poll();
            if (!this.closed) {
                this.schedule();
            }
        });
    }

    private async poll(): Promise<void> {
        if (this.polling) {
            return;
        }
        this.polling = true;
        const requestedAt = this.options.context.clock.now();
        const vms = await this.options.vmList.list(LIST_TIMEOUT_MS);
        this.polling = false;
        if (this.closed) {
            return;
        }
        if (vms !== undefined) {
            this.vms = vms;
            this.trackFirstSeen();
            this.markListed(requestedAt);
            this.syncSessions();
        }
        this.options.health.takeReadmitted();
        this.sessions.forEach(session => this.refreshOpen(session));
        this.refreshReady();
    }

    private markListed(askedAt: Millis): void {
        for (const slice of this.slices.values()) {
            if (askedAt >= slice.openedAt) {
                slice.listedAt ??= askedAt;
            }
        }
    }

    private trackFirstSeen(): void {
        const now = this.options.context.clock.now();
        for (const { workerId } of this.vms) {
            this.firstSeen.set(workerId, this.firstSeen.get(workerId) ?? now);
        }
        const listed = new Set(this.vms.map(vm => vm.workerId));
        for (const workerId of this.firstSeen.keys()) {
            if (!listed.has(workerId) && !this.sessions.has(workerId)) {
                this.firstSeen.delete(workerId);
            }
        }
    }

    /**
     * Whether a VM is so new that other entries may not see it in the list yet. Such a VM gets no work: an
     * entry that took over its slice now would not find it in the list and would declare the slice ready
     * without knowing its tasks.
     */
    private isNew(workerId: string): boolean {
        const seenAt = this.firstSeen.get(workerId) ?? this.options.context.clock.now();
        return this.options.context.clock.now() - seenAt < LIST_SKEW_MS;
    }

    private syncSessions(): void {
        const wanted = new Map<string, { readonly vm: VmRecord; readonly slice: SliceState; }>();
        for (const vm of this.vms) {
            const slice = this.slices.get(this.options.findSlice(vm) ?? -1);
            if (slice !== undefined) {
                wanted.set(vm.workerId, { vm, slice });
            }
        }
        for (const session of [...this.sessions.values()]) {
            const slice = this.slices.get(session.slice);
            const moved = slice === undefined || slice.epoch !== session.epoch;
            const gone = !wanted.has(session.workerId) && !session.isReachable() && session.isSettled();
            if (moved || gone) {
                this.dropSession(session);
            }
        }
        for (const { vm, slice } of wanted.values()) {
            if (!this.sessions.has(vm.workerId)) {
                this.openSession(vm, slice);
            }
        }
    }

    private openSession(vm: VmRecord, slice: SliceState): void {
        const session = new WorkerSession({
            context: this.options.context,
            port: this.options.port,
            vm,
            slice: slice.slice,
            epoch: slice.epoch,
            getPredecessorBound: () => this.getPredecessorBound(slice),
            getCell: () => this.options.getCell(),
            listener: this.options.listener,
        });
        this.sessions.set(vm.workerId, session);
        this.options.health.add(vm.workerId);
        session.start();
    }

    private dropSession(session: WorkerSession): void {
        session.close();
        this.sessions.delete(session.workerId);
        this.openWorkers.delete(session.workerId);
        this.options.health.remove(session.workerId);
        this.options.handleDropped(session);
    }

    /** Marks slices as ready once the tasks of each of their workers are known or have certainly ended. */
    private refreshReady(): void {
        const { clock } = this.options.context;
        for (const slice of this.slices.values()) {
            if (slice.majorityKnownAt === undefined && this.options.isKnownByMajority(slice.revision)) {
                slice.majorityKnownAt = clock.now();
            }
            if (!slice.ready && slice.listedAt !== undefined) {
                slice.ready = [...this.sessions.values()]
                    .filter(session => session.slice === slice.slice)
                    .every(session => session.isSettled());
            }
        }
    }

    /**
     * Time by which a worker that was never reached from here has ended the tasks of the previous owner;
     * docs/design/ownership.md lists the cases.
     */
    private getPredecessorBound(slice: SliceState): Millis {
        if (slice.predecessor === Predecessor.none) {
            return slice.openedAt;
        }
        const cell = this.options.getCell();
        const lease = (cell.workerLeaseMs + ORDER_WINDOW_MS) * (1 + cell.clockDrift);
        if (slice.predecessor === Predecessor.released) {
            return slice.openedAt + lease;
        }
        const timeBound = slice.openedAt + cell.outageToleranceMs * (1 + cell.clockDrift) + lease;
        if (slice.majorityKnownAt === undefined) {
            return timeBound;
        }
        const stopDelay = Math.max(cell.freshMs, cell.memberTtlMs) * (1 + cell.clockDrift);
        return Math.min(timeBound, slice.majorityKnownAt + stopDelay + lease);
    }
}
