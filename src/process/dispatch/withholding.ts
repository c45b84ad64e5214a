/** Finds which safeguards keep free capacity from waiting steps. */
import type { Millis } from "../../common/clock.js";
import { isWithin } from "../../common/resources.js";
import type { Step } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import type { GangReservations } from "./gang-reservations.js";
import { isGapLeft } from "./headroom.js";
import type { Gap } from "./headroom.js";
import type { PlanInput } from "./plan.js";
import type { Slot } from "./pool-view.js";
import type { Probation } from "./probation.js";
import { Safeguard } from "./safeguards.js";
import type { Urgency } from "./urgency.js";
import type { Placement, WaitingStep } from "./waiting-step.js";

/** Steps that have been ready for less than this are not looked at. */
const MIN_READY_MS: Millis = 500;

/** What may keep a worker from a step. */
interface SafeguardContext {
    readonly probation: Probation;
    readonly reservations: GangReservations;
    /** Gap that the step has to leave. */
    readonly gap: Gap | undefined;
    /** Whether a task of the step without a place may crash its worker. */
    readonly isSuspect: boolean;
    /** The workers that the step may use in this pass. */
    readonly candidates: ReadonlySet<Slot>;
}

/** Records the steps of one pass that may not use free capacity. */
export class WithheldRecorder {
    /** The first safeguard that was found for each step. */
    readonly safeguards = new Map<Step, Safeguard>();

    constructor(
        private readonly input: Pick<PlanInput, "headroom" | "now">,
        private readonly probation: Probation,
        private readonly reservations: GangReservations,
    ) {}

    /** Records a step, unless it has just become ready. */
    record(urgency: Urgency, safeguard: Safeguard | undefined): void {
        if (safeguard !== undefined && this.hasBeenReady(urgency)) {
            this.safeguards.set(urgency.step, safeguard);
        }
    }

    /** Looks for free capacity that the tasks without a place may not use, and records the step if there is any. */
    find(current: WaitingStep, placements: readonly Placement[]): void {
        const { urgency, step, pool, startable } = current;
        if (!this.hasBeenReady(urgency) || !pool.mayFit(step.spec.demand)) {
            return;
        }
        const { probation, reservations } = this;
        const placed = new Set(placements.map(({ task }) => task));
        const context = {
            probation,
            reservations,
            gap: this.input.headroom?.findGap(step, urgency.queue, this.input.now),
            isSuspect: startable.some(task => !placed.has(task) && isSuspect(task)),
            candidates: new Set(current.candidates),
        };
        for (const slot of current.willing) {
            const safeguard = findSafeguard(slot, current, context);
            if (safeguard !== undefined) {
                this.safeguards.set(step, safeguard);
                return;
            }
        }
    }

    private hasBeenReady({ readyAt }: Urgency): boolean {
        return readyAt !== undefined && this.input.now - readyAt >= MIN_READY_MS;
    }
}

/** Finds the safeguard that keeps a worker with enough capacity from a step; undefined if there is none. */
function findSafeguard(
    slot: Slot,
    { step, urgency }: WaitingStep,
    { probation, reservations, gap, isSuspect: isStepSuspect, candidates }: SafeguardContext,
): Safeguard | undefined {
    if (!slot.mayStart || slot.isAtLimit(step)) {
        return undefined;
    }
    if (!isWithin(step.spec.demand, slot.free)) {
        return reservations.isKeptFrom(step, slot) ? Safeguard.gangReservation : undefined;
    }
    if (!candidates.has(slot) || !probation.isReady(slot, urgency)) {
        return Safeguard.probation;
    }
    if (!slot.isOpenTo(step) || isStepSuspect && !slot.isIdleExceptFor(step)) {
        return Safeguard.isolation;
    }
    return isGapLeft(slot.id, slot.free, step.spec.demand, gap) ? undefined : Safeguard.urgentGap;
}
