/** Decides on which workers this leader may extend leases, and makes it durable before it does. */
import type { Millis } from "../../common/clock.js";
import type { WorkerState } from "../dispatch/worker-state.js";
import type { LeaderContext } from "./context.js";
import type { FleetMember } from "./fleet.js";
import { computeLossGrace } from "./late-leader.js";

/** Time without an answer after which a worker is released. Single lost answers are followed by another within it. */
const RELEASE_AFTER_MS: Millis = 300;

/**
 * Adopts the workers that this leader reaches, and releases those that it does not.
 *
 * @remarks A leader without contact to the store goes on extending leases for a while, so a successor that cannot reach
 * a worker has to wait for that time too. For a released worker it waits for one lease only.
 */
export class WorkerLeases {
    /** Workers whose adoption is being written. */
    private readonly adopting = new WeakSet<WorkerState>();
    /** Since when workers that had answered do not any more. */
    private readonly silentSince = new WeakMap<WorkerState, Millis>();
    /** Whether the store is being asked if this leader still leads. */
    private isConfirming = false;

    constructor(private readonly context: LeaderContext) {}

    /** Records that a worker has become reachable or unreachable. */
    observeReachability(state: WorkerState, isReachable: boolean): void {
        if (isReachable) {
            this.silentSince.delete(state);
        }
        else {
            this.silentSince.set(state, this.context.clock.now());
        }
    }

    /** Adopts a worker that has reported, unless it is adopted already. */
    adopt({ state, session }: FleetMember): void {
        const { context } = this;
        if (state.isAdopted && !state.isReleased || this.adopting.has(state)) {
            return;
        }
        this.adopting.add(state);
        const { workerId, address } = state.record;
        context.record({ type: "adopted", workerId, epoch: context.epoch, address }, () => {
            this.adopting.delete(state);
            state.isAdopted = true;
            state.isReleased = false;
            session.grantLeases();
            context.requestPass();
        });
    }

    /**
     * Releases a worker with runs that does not answer. Leases there are not extended from now on, until it has reported
     * and is adopted again.
     *
     * @remarks Only an answer of the store since then shows that the fault is not this node's own connection.
     */
    releaseIfSilent({ state, session }: FleetMember, now: Millis): void {
        const { context } = this;
        const since = this.silentSince.get(state);
        const mayRelease = state.isAdopted && !state.isReleased && state.runs.size > 0;
        if (!mayRelease || since === undefined) {
            return;
        }
        const silentMs = now - since;
        if (silentMs < RELEASE_AFTER_MS + computeLossGrace(context.lateness)) {
            return;
        }
        if (!context.authority.hasContactSince(since)) {
            this.confirmContact();
            return;
        }
        const { workerId } = state.record;
        state.isReleased = true;
        session.revokeLeases();
        context.record({ type: "workerReleased", workerId });
        context.log.info("workerReleased", {
            workerId,
            runs: state.runs.size,
            silentMs: Math.round(silentMs),
            leaseLeftMs: Math.round(session.getLeaseEnd() - now),
        });
        context.metrics.count("workers.released");
    }

    private confirmContact(): void {
        if (!this.isConfirming) {
            this.isConfirming = true;
            void this.context.confirmLeading().finally(() => {
                this.isConfirming = false;
            });
        }
    }
}
