/** Finds which safeguard keeps free capacity from a waiting step. */
import type { Millis } from "../../common/clock.js";
import { isWithin } from "../../common/resources.js";
import type { GangReservations } from "./gang-reservations.js";
import { isGapLeft } from "./headroom.js";
import type { Gap } from "./headroom.js";
import type { Slot } from "./pool-view.js";
import type { Probation } from "./probation.js";
import { Safeguard } from "./safeguards.js";
import type { WaitingStep } from "./waiting-step.js";

/** Steps that have been ready for less than this are not looked at. */
export const MIN_READY_MS: Millis = 500;

/** What may keep a worker from a step in the current pass. */
export interface SafeguardContext {
    readonly probation: Probation;
    readonly reservations: GangReservations;
    /** Gap that the step has to leave. */
    readonly gap: Gap | undefined;
    /** Whether the step's tasks that are left may start only where nothing else runs. */
    readonly isAlone: boolean;
}

/** Finds the first safeguard that keeps a worker with enough capacity from a step; undefined if there is none. */
export function findSafeguard(current: WaitingStep, context: SafeguardContext): Safeguard | undefined {
    const candidates = new Set(current.candidates);
    for (const slot of current.willing) {
        const found = findSafeguardOf(slot, current, candidates, context);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

function findSafeguardOf(
    slot: Slot,
    { step, urgency }: WaitingStep,
    candidates: ReadonlySet<Slot>,
    { probation, reservations, gap, isAlone }: SafeguardContext,
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
    if (!slot.isOpenTo(step) || isAlone && !slot.isIdleExceptFor(step)) {
        return Safeguard.isolation;
    }
    return isGapLeft(slot.id, slot.free, step.spec.demand, gap) ? undefined : Safeguard.urgentGap;
}
