/** Learns how long the advice service takes for the requests of one step, by queue. */
import type { Millis } from "../../common/clock.js";

/** Factor by which the weight of an answer falls with every later one: about the last 50 count. */
const DECAY = 0.98;
/** Steps that must have had an answer before the cost of one is known. */
const MIN_STEPS = 3;

interface Cost {
    busyMs: Millis;
    steps: number;
    answeredSteps: number;
}

/**
 * Mean cost of a step, by queue.
 *
 * @remarks A step may make several requests until its tasks have ended: permits expire while it waits for capacity, and
 * tasks that failed need new ones. The policy's figures tell neither that nor how fast the service really is.
 */
export class RequestCosts {
    private readonly costs = new Map<string, Cost>();

    /**
     * Records an answer.
     * @param queue - Name of the step's queue.
     * @param busyMs - For how long the request kept its node busy.
     * @param isFirst - Whether the step had no answer before.
     */
    observe(queue: string, busyMs: Millis, isFirst: boolean): void {
        const cost = this.costs.get(queue) ?? { busyMs: 0, steps: 0, answeredSteps: 0 };
        this.costs.set(queue, cost);
        cost.busyMs = cost.busyMs * DECAY + busyMs;
        cost.steps = cost.steps * DECAY + (isFirst ? 1 : 0);
        cost.answeredSteps += isFirst ? 1 : 0;
    }

    /** Returns the time that all requests of one step take; undefined before the answers of a few steps. */
    getStepMs(queue: string): Millis | undefined {
        const cost = this.costs.get(queue);
        return cost === undefined || cost.answeredSteps < MIN_STEPS || cost.steps < 1 ?
            undefined :
            cost.busyMs / cost.steps;
    }
}
