/**
 * Tells workers that leave single calls unanswered from a leader whose own link is full, so that all its calls
 * are late.
 *
 * @remarks A late call is made again, and a worker whose report is late counts as unreachable and is asked
 * again. That helps against a lost answer. Behind a full link each call waits behind the repeated ones, and
 * they keep it full for as long as work comes in (a metastable failure; Bronson et al., HotOS 2021). Lost
 * answers are few among many, while a full link delays most.
 */

/** Weight of a new call in the share of late ones: it follows the last few dozen calls. */
const GAIN = 1 / 24;
/** Share of late calls from which on the link is taken for full; at most a tenth of calls are lost. */
const FULL_SHARE = 0.3;
/** Share below which it is no longer taken for full. */
const FREE_SHARE = 0.1;

/** The share of a leader's recent calls to workers that were not answered in the usual time. */
export class LateCalls {
    private share = 0;
    private isFull = false;

    /** Records a call to a worker that was reachable. */
    observe(isLate: boolean): void {
        this.share += ((isLate ? 1 : 0) - this.share) * GAIN;
        this.isFull = this.share > (this.isFull ? FREE_SHARE : FULL_SHARE);
    }

    /** Returns whether most workers answer late, so that the cause is on this side. */
    isLinkFull(): boolean {
        return this.isFull;
    }
}
