/** The workers of the slices that this entry owns: sessions, readiness, and which of them are open for new work. */
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
/** Reads of the VM list by two entries differ by at most this; docs/ASSUMPTIONS.md. */
const LIST_SKEW_MS: Millis = 2_000;

/** What {@link WorkerFleet} is given. */
export interface FleetOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    readonly health: WorkerHealth;
    readonly vmList: VmListPort;
    readonly port: WorkerPort;
    getCell(): CellSettings;
    /** Slice of a rack, or undefined while the table does not list its domain. */
    findSlice(vm: VmRecord): number | undefined;
    /** Whether a majority knows of the table by which a slice was taken. */
    isKnownByMajority(revision: number): boolean;
    readonly listener: SessionListener;
    /** Called when a worker was opened or closed to new work. */
    handleWorkersChange(): void;
    /** Called for each attempt on a worker that the fleet gives up, without its tasks having ended. */
    handleDropped(session: WorkerSession): void;
}

interface OpenSlice {
    readonly slice: number;
    readonly epoch: number;
    readonly openedAt: Millis;
    readonly revision: number;
    readonly predecessor: Predecessor;
    knownAt: Millis | undefined;
    listedAt: Millis | undefined;
    ready: boolean;
}

/** Keeps a session to each worker of the owned slices. */
export class WorkerFleet {
    private readonly slices = new Map<number, OpenSlice>();
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly openWorkers = new Set<string>();
    /** Slices being handed over. */
    private readonly sealed = new Set<number>();
    /** When this entry first saw each VM in the list. */
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
            knownAt: undefined,
            listedAt: undefined,
            ready: false,
        });
        this.syncSessions();
        void this.poll();
    }

    /** Opens no worker of a slice to new work any more; what runs there goes on. */
    sealSlice(slice: number): void {
        this.sealed.add(slice);
        this.sessions.forEach(session => this.refreshOpen(session));
    }

    /** Ends the sessions of a slice. */
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

    /** Whether any worker lies in an owned slice. */
    hasWorkers(slice: number): boolean {
        return [...this.sessions.values()].some(session => session.slice === slice);
    }

    /** Failure domains in the VM list, for the ownership table. */
    listDomains(): readonly string[] {
        return [...new Set(this.vms.map(vm => vm.failureDomain))];
    }

    /** Whether a worker takes new work. */
    isOpen(session: WorkerSession): boolean {
        return this.sessions.get(session.workerId) === session && this.describeState(session) === "open";
    }

    /** Opens or closes a worker in the core by everything that is known of it. */
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
     * A worker that compares no epochs takes orders of the owner before until that owner's store lease has surely
     * ended: new work there has to wait for it.
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
        const askedAt = this.options.context.clock.now();
        const vms = await this.options.vmList.list(LIST_TIMEOUT_MS);
        this.polling = false;
        if (this.closed) {
            return;
        }
        if (vms !== undefined) {
            this.vms = vms;
            this.trackSeen();
            this.markListed(askedAt);
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

    private trackSeen(): void {
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
     * A VM that another entry may not see yet takes no work: an owner that took its slice now would read the list,
     * find no such worker, and declare the slice ready with tasks on it that it does not know.
     */
    private isNew(workerId: string): boolean {
        const seenAt = this.firstSeen.get(workerId) ?? this.options.context.clock.now();
        return this.options.context.clock.now() - seenAt < LIST_SKEW_MS;
    }

    private syncSessions(): void {
        const wanted = new Map<string, { readonly vm: VmRecord; readonly slice: OpenSlice; }>();
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

    private openSession(vm: VmRecord, slice: OpenSlice): void {
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

    /** A slice is ready once the tasks of each of its workers are known, or have surely ended. */
    private refreshReady(): void {
        const { clock } = this.options.context;
        for (const slice of this.slices.values()) {
            if (slice.knownAt === undefined && this.options.isKnownByMajority(slice.revision)) {
                slice.knownAt = clock.now();
            }
            if (!slice.ready && slice.listedAt !== undefined) {
                slice.ready = [...this.sessions.values()]
                    .filter(session => session.slice === slice.slice)
                    .every(session => session.isSettled());
            }
        }
    }

    /**
     * Instant by which a worker that was never reached here has surely ended the tasks of the owner before;
     * docs/design/ownership.md lists the cases.
     */
    private getPredecessorBound(slice: OpenSlice): Millis {
        if (slice.predecessor === Predecessor.none) {
            return slice.openedAt;
        }
        const cell = this.options.getCell();
        const lease = (cell.workerLeaseMs + ORDER_WINDOW_MS) * (1 + cell.clockDrift);
        if (slice.predecessor === Predecessor.released) {
            return slice.openedAt + lease;
        }
        const byTime = slice.openedAt + cell.outageToleranceMs * (1 + cell.clockDrift) + lease;
        if (slice.knownAt === undefined) {
            return byTime;
        }
        const stop = Math.max(cell.freshMs, cell.memberTtlMs) * (1 + cell.clockDrift);
        return Math.min(byTime, slice.knownAt + stop + lease);
    }
}
