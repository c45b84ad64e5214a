/** When gangs that lack room last looked for runs to stop, and what came of it. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";

/** A look takes a millisecond, and the runs that could be stopped change with each end: a gang looks this often. */
const LOOK_MS: Millis = 100;
/** A stop takes up to 0.4 s, and its end is known 0.1 s later. */
const MAKING_ROOM_MS: Millis = 500;

interface Look {
    readonly at: Millis;
    readonly isMakingRoom: boolean;
}

/** The looks of one leader; what passes remember of each other. */
export class PreemptionLooks {
    private readonly looks = new WeakMap<Step, Look>();

    /** Tells whether a step may look again. */
    isDue(step: Step, now: Millis): boolean {
        const look = this.looks.get(step);
        return look === undefined || now - look.at >= LOOK_MS;
    }

    /** Tells whether runs are being stopped for a step. */
    isMakingRoom(step: Step, now: Millis): boolean {
        const look = this.looks.get(step);
        return look?.isMakingRoom === true && now - look.at < MAKING_ROOM_MS;
    }

    /** Takes in a look. */
    observe(step: Step, now: Millis, isMakingRoom: boolean): void {
        this.looks.set(step, { at: now, isMakingRoom });
    }
}
