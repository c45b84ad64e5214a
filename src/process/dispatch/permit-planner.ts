/** Decides for which workers a pass requests permits. */
import type { StepPermits } from "./permits.js";
import type { PermitRequest, PlanInput } from "./plan.js";
import { canEverHold, countNeeded, countPlaces } from "./pool-view.js";
import type { Probation } from "./probation.js";
import { selectRequestedWorkers } from "./request-size.js";
import type { RequestCandidate } from "./request-size.js";
import type { Urgency } from "./urgency.js";
import type { Placement, RequestScope, WaitingStep } from "./waiting-step.js";

/**
 * Replaces the expected share of allowed workers in renewals: the workers are allowed, but others may have
 * used their free capacity before the answer arrives.
 */
const RENEWAL_SHARE = 0.5;

/** The permit requests of one pass. */
export class PermitPlanner {
    readonly requests: PermitRequest[] = [];

    constructor(private readonly input: PlanInput, private readonly probation: Probation) {}

    /**
     * Requests expired permits again, for the workers chosen now and then for the emptiest: by the time of
     * the answer others may have used their free capacity, and most of the service's time goes to a request
     * as such.
     */
    renew(
        current: WaitingStep,
        permits: StepPermits,
        placements: readonly Placement[],
        canStart: boolean,
    ): void {
        if (!permits.canRequest(this.input.now)) {
            return;
        }
        const expired = current.candidates
            .filter(slot => permits.getUsable(slot.id, this.input.now) === undefined);
        const chosen = new Set(placements.map(({ slot }) => slot));
        this.addPermitRequest(current.urgency, {
            slots: expired,
            allowedShare: RENEWAL_SHARE,
            hasCapacity: canStart,
            chosen,
        });
    }

    /**
     * Requests permits for workers that were not named yet: for the first ones at once, for more if the
     * allowed ones can never hold the step, or if others have free capacity now.
     */
    requestUnknown({ urgency, step, pool, permits, candidates }: WaitingStep): void {
        if (permits?.canRequest(this.input.now) !== true) {
            return;
        }
        const isAllWanted = candidates.length === 0 || !canEverHold(step, candidates);
        if (!isAllWanted && !pool.mayFit(step.spec.demand)) {
            return;
        }
        const unknown = this.probation.select(urgency, pool, pool.slots).filter(slot =>
            permits.isUnknown(slot.id) && (isAllWanted || slot.canTake(step)) && slot.isSuitable(step)
        );
        // An answer may have left out workers that would be allowed now, and no others remain to be named.
        const isDeniedWanted = isAllWanted && unknown.length === 0;
        const wanted = isDeniedWanted ?
            pool.slots.filter(slot =>
                permits.isDenialOver(slot.id, this.input.now) && slot.isSuitable(step)
            ) :
            unknown;
        const allowedShare = this.input.getAllowedShare(urgency.queue.name);
        const canStart = countPlaces(step, wanted) * allowedShare >= countNeeded(step);
        this.addPermitRequest(urgency, {
            slots: wanted,
            allowedShare,
            hasCapacity: canStart,
            chosen: new Set(),
        });
    }

    private addPermitRequest(
        urgency: Urgency,
        { slots, allowedShare, hasCapacity, chosen }: RequestScope,
    ): void {
        const { step, queue } = urgency;
        if (queue.advice === undefined || slots.length === 0) {
            return;
        }
        const need = { spec: step.spec, tasks: step.waiting, policy: queue.advice, allowedShare };
        const askable = slots.map((slot): RequestCandidate => {
            const { id, capacity, free } = slot;
            const cpuMillis = Math.max(0, free.cpuMillis - this.input.getClaimedCpu(id));
            return { id, capacity, free: { ...free, cpuMillis }, isChosen: chosen.has(slot) };
        });
        const workerIds = this.probation.isRisky(queue.name) ?
            askable.map(({ id }) => id) :
            selectRequestedWorkers(askable, need);
        this.requests.push({ urgency, workerIds, hasCapacity });
    }
}
