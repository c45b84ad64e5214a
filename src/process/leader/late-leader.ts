/** How a leader adapts its time limits and intervals while its processor is overloaded. */
import type { Millis } from "../../common/clock.js";
import { isLate } from "../../common/lateness.js";
import type { Lateness } from "../../common/lateness.js";

/** Turns of the event loop within which reports that have arrived are read. */
const READING_TURNS = 8;
const LONGEST_LOSS_GRACE_MS: Millis = 6_000;
/** Factor between the lateness and the time that is added to gaps between calls that could be combined. */
const GAP_FACTOR = 2;
const LONGEST_EXTRA_GAP_MS: Millis = 450;
const LONGEST_EXTRA_RECORD_INTERVAL_MS: Millis = 75;

/**
 * Computes how long after its lease the runs of a worker without contact are kept before they are declared
 * lost.
 *
 * @remarks A late leader may not have read a report yet in which a run has ended as done. Without the grace
 * time it would declare the run lost and start the task a second time.
 */
export function computeLossGrace(lateness: Lateness): Millis {
    return isLate(lateness) ?
        Math.min(LONGEST_LOSS_GRACE_MS, lateness.getLatenessMs() * READING_TURNS) :
        0;
}

/**
 * Computes what is added to the time between two reports of a worker. When runs of each worker end every few
 * milliseconds, a longer gap lets one report carry more ends.
 */
export function computeExtraReportGap(lateness: Lateness): Millis {
    return Math.min(LONGEST_EXTRA_GAP_MS, lateness.getMeanLatenessMs() * GAP_FACTOR);
}

/** Computes what is added to the time between two journal records, so that each carries more events. */
export function computeExtraRecordInterval(lateness: Lateness): Millis {
    return Math.min(LONGEST_EXTRA_RECORD_INTERVAL_MS, lateness.getMeanLatenessMs() / GAP_FACTOR);
}
