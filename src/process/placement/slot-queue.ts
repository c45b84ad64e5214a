/** Waiting service requests of one branch: a flow per caller, and the rate at which requests start. */
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import { Flow, FlowHeap, type FlowOwner } from "./flow.js";
import type { Policy } from "./policy.js";
import { SlotPool } from "./slot-pool.js";
import type { TeamUsage } from "./team-registry.js";

/** Time constant of the exponential average of the start rate. */
const RATE_WINDOW_MS = 2_000;
/** Flows kept for their tags, beyond twice the active ones, before empty ones are swept. */
const IDLE_FLOW_ALLOWANCE = 1_024;

/** The queue of one service branch. Callers are served by start-time fair queueing with equal weights. */
export class SlotQueue implements FlowOwner {
    readonly flows = new Map<string, Flow>();
    readonly pool: SlotPool;
    size = 0;
    /** Number of flows with waiting requests. */
    activeFlows = 0;
    /** Fair-queueing tags of this branch among the service branches. */
    startTag = 0;
    finishTag = 0;
    /** Start tag of the flow served last. */
    virtualTime = 0;
    private readonly heap = new FlowHeap();
    private decayedStarts = 0;
    private decayedAt: Millis = 0;

    constructor(readonly branch: BranchSettings, readonly policy: Policy) {
        this.pool = new SlotPool(branch);
    }

    refresh(flow: Flow): void {
        if (flow.length > 0) {
            this.heap.push(flow);
        }
    }

    /** @returns A caller's flow, created if needed. */
    getFlow(key: string, team: TeamUsage): Flow {
        let flow = this.flows.get(key);
        if (flow === undefined) {
            if (this.flows.size > IDLE_FLOW_ALLOWANCE + 2 * this.activeFlows) {
                this.sweepFlows();
            }
            flow = new Flow(key, this.branch, this.policy, false, team, this);
            this.flows.set(key, flow);
        }
        return flow;
    }

    /** Activates a flow that got its first request. */
    openFlow(flow: Flow): void {
        flow.startTag = Math.max(this.virtualTime, flow.finishTag);
        this.activeFlows += 1;
        this.heap.push(flow);
    }

    /** Deactivates a flow that lost its last request. */
    closeFlow(flow: Flow): void {
        this.activeFlows -= 1;
        this.heap.remove(flow);
    }

    /** @returns The flow to serve next, or undefined. */
    peek(): Flow | undefined {
        return this.heap.peek();
    }

    /** Adds a start to the start rate. */
    recordStart(now: Millis): void {
        this.decayedStarts = this.computeDecayed(now) + 1;
        this.decayedAt = now;
    }

    /** @returns Starts per millisecond, averaged over about {@link RATE_WINDOW_MS}. */
    getStartRate(now: Millis): number {
        return this.computeDecayed(now) / RATE_WINDOW_MS;
    }

    private computeDecayed(now: Millis): number {
        return this.decayedStarts * Math.exp(-Math.max(0, now - this.decayedAt) / RATE_WINDOW_MS);
    }

    /** Drops empty flows whose tags no longer matter, because a new flow would get the same start tag. */
    private sweepFlows(): void {
        for (const [key, flow] of this.flows) {
            if (flow.length === 0 && flow.finishTag <= this.virtualTime) {
                this.flows.delete(key);
            }
        }
    }
}
