/** Waiting service requests of one branch: a line for each caller, and how fast the branch is served. */
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import { Line, LineHeap, type LineOwner } from "./line.js";
import type { Policy } from "./policy.js";
import { SlotPool } from "./slot-pool.js";
import type { TeamAccount } from "./team-book.js";

/** Time over which the rate of starts is averaged. */
const RATE_WINDOW_MS = 2_000;
/** Empty lines kept for their tags before they are swept. */
const IDLE_LINES = 1_024;

/** The queue of one service branch. Callers are served by start-time fair queueing, equally. */
export class SlotQueue implements LineOwner {
    readonly lines = new Map<string, Line>();
    readonly pool: SlotPool;
    size = 0;
    /** Lines with waiting requests. */
    activeLines = 0;
    /** Tags of the branch among the service branches. */
    startTag = 0;
    finishTag = 0;
    /** Start tag of the last caller served. */
    virtualTime = 0;
    private readonly heap = new LineHeap();
    private startedRecently = 0;
    private countedAt: Millis = 0;

    constructor(readonly branch: BranchSettings, readonly policy: Policy) {
        this.pool = new SlotPool(branch);
    }

    refresh(line: Line): void {
        if (line.length > 0) {
            this.heap.push(line);
        }
    }

    /** @returns The line of a caller, made if needed. */
    getLine(key: string, team: TeamAccount): Line {
        let line = this.lines.get(key);
        if (line === undefined) {
            if (this.lines.size > IDLE_LINES + 2 * this.activeLines) {
                this.sweepLines();
            }
            line = new Line(key, this.branch, this.policy, false, team, this);
            this.lines.set(key, line);
        }
        return line;
    }

    /** Notes that a line got its first request. */
    openLine(line: Line): void {
        line.startTag = Math.max(this.virtualTime, line.finishTag);
        this.activeLines += 1;
        this.heap.push(line);
    }

    /** Notes that a line lost its last request. */
    closeLine(line: Line): void {
        this.activeLines -= 1;
        this.heap.remove(line);
    }

    /** @returns The line that is next. */
    peek(): Line | undefined {
        return this.heap.peek();
    }

    /** Counts a start. */
    recordStart(now: Millis): void {
        this.startedRecently = this.computeDecayed(now) + 1;
        this.countedAt = now;
    }

    /** @returns Starts a millisecond, averaged over the last seconds. */
    getStartRate(now: Millis): number {
        return this.computeDecayed(now) / RATE_WINDOW_MS;
    }

    private computeDecayed(now: Millis): number {
        return this.startedRecently * Math.exp(-Math.max(0, now - this.countedAt) / RATE_WINDOW_MS);
    }

    /** Drops empty lines whose tags no longer matter: a new line would get the same. */
    private sweepLines(): void {
        for (const [key, line] of this.lines) {
            if (line.length === 0 && line.finishTag <= this.virtualTime) {
                this.lines.delete(key);
            }
        }
    }
}
