/** What a leader does otherwise while its processor is full. Pure. */
import type { Millis } from "../../common/clock.js";
import { isLate } from "../../common/lateness.js";
import type { Lateness } from "../../common/lateness.js";

/** Turns of the event loop in which reports that have arrived are read. */
const READING_TURNS = 8;
const LONGEST_LOSS_GRACE_MS: Millis = 6_000;
/** Share of the lateness that is added to each gap between calls that could be one. */
const GAP_SHARE = 2;
const LONGEST_EXTRA_GAP_MS: Millis = 450;
const LONGEST_EXTRA_RECORD_GAP_MS: Millis = 75;

/**
 * Computes how much longer than their lease the runs of a silent worker are waited for.
 *
 * @remarks Failure guarded against: a leader has not read a report yet in which a run has ended as done. It calls the run
 * lost and starts the task again, and then reads that it was done.
 */
export function computeLossGrace(lateness: Lateness): Millis {
    return isLate(lateness) ?
        Math.min(LONGEST_LOSS_GRACE_MS, lateness.getLatenessMs() * READING_TURNS) :
        0;
}

/**
 * Computes what is added to the time between two reports of a worker. Load answered: an end for every few milliseconds of
 * each worker; what ends within a longer gap comes with one report.
 */
export function computeExtraReportGap(lateness: Lateness): Millis {
    return Math.min(LONGEST_EXTRA_GAP_MS, lateness.getMeanLatenessMs() * GAP_SHARE);
}

/** Computes what is added to the time between two records of the journal, so that each holds more. */
export function computeExtraRecordGap(lateness: Lateness): Millis {
    return Math.min(LONGEST_EXTRA_RECORD_GAP_MS, lateness.getMeanLatenessMs() / GAP_SHARE);
}
