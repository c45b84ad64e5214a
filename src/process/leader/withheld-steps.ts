/** Tracks the steps from which safeguards keep free capacity, and logs those that wait for long. */
import type { Millis } from "../../common/clock.js";
import type { Safeguard } from "../dispatch/safeguards.js";
import type { Step } from "../jobs/job.js";
import type { Log, Metrics } from "../telemetry.js";

/** A step that is withheld for this long is logged. */
const MIN_LOGGED_MS: Millis = 1_000;
/** Most steps whose lines are open at a time. */
const MAX_LOGGED_STEPS = 20;

/** What keeps free capacity from a step. */
export interface Withholding {
    readonly safeguard: Safeguard;
    /** Since when, on the leader's clock. */
    readonly since: Millis;
}

interface TrackedWithholding extends Withholding {
    isLogged: boolean;
}

/** The steps that were withheld in the last pass of one leader. */
export class WithheldSteps {
    private tracked = new Map<Step, TrackedWithholding>();

    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /**
     * Observes the result of a pass.
     * @param withheld - The withheld steps, with the safeguard.
     * @param now - On the leader's clock.
     */
    observe(withheld: ReadonlyMap<Step, Safeguard>, now: Millis): void {
        const before = this.tracked;
        this.tracked = new Map();
        for (const [step, safeguard] of withheld) {
            const known = before.get(step);
            const isContinued = known?.safeguard === safeguard;
            this.tracked.set(step, isContinued ? known : { safeguard, since: now, isLogged: false });
        }
        before.forEach((known, step) => this.logEnd(step, known, now));
        this.logLong(now);
        this.metrics.gauge("steps.withheld", this.tracked.size);
    }

    /** Finds what kept free capacity from a step in the last pass. */
    find(step: Step): Withholding | undefined {
        return this.tracked.get(step);
    }

    private logLong(now: Millis): void {
        let open = [...this.tracked.values()].filter(({ isLogged }) => isLogged).length;
        for (const [step, tracked] of this.tracked) {
            if (!tracked.isLogged && now - tracked.since >= MIN_LOGGED_MS && open < MAX_LOGGED_STEPS) {
                open += 1;
                tracked.isLogged = true;
                this.log.info("stepWithheld", describeWithholding(step, tracked, now));
            }
        }
    }

    private logEnd(step: Step, known: TrackedWithholding, now: Millis): void {
        if (known.isLogged && this.tracked.get(step) !== known) {
            this.log.info("stepReleased", describeWithholding(step, known, now));
        }
    }
}

function describeWithholding(
    { name, job, spec, waiting }: Step,
    { safeguard, since }: Withholding,
    now: Millis,
): Readonly<Record<string, string | number | boolean>> {
    return {
        step: name,
        queue: job.queue,
        safeguard,
        withheldMs: Math.round(now - since),
        isLongRunning: spec.isLongRunning,
        waiting,
    };
}
