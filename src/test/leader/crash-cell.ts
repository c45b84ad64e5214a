/** A leader's cell whose workers crash under some tasks and come back as new lives at the same addresses. */
import type { Millis } from "../../common/clock.js";
import { LeaderCell } from "./leader-cell.js";
import type { SeenStart, TestLeader } from "./leader-cell.js";

/** Time from the start of a task to the crash that it causes. */
const CRASH_AFTER_MS: Millis = 10;

/** What a cell is made from. */
export interface CrashCellOptions {
    readonly workers: number;
    /** How long a crashed worker is down. */
    readonly downMs: Millis;
    /** Tells whether a task crashes the worker that starts it. */
    readonly isCrashing: (task: string) => boolean;
}

/** The cell; see the module comment. */
export class CrashCell {
    readonly cell: LeaderCell;
    /** Starts under which a worker crashed. */
    readonly crashes: SeenStart[] = [];
    private current: TestLeader | undefined;
    private lives = 0;

    constructor(private readonly options: CrashCellOptions) {
        this.cell = new LeaderCell(options.workers);
        this.cell.handleStarted = start => this.observeStart(start);
    }

    /** Returns the leader of the moment. */
    get leader(): TestLeader {
        if (this.current === undefined) {
            throw new Error("no leader yet: call startLeader first");
        }
        return this.current;
    }

    /** Starts the first leader, or another one after the one before was lost. */
    async startLeader(): Promise<TestLeader> {
        this.current?.leader.close();
        this.current = await this.cell.startLeader();
        await this.cell.clock.step(100);
        return this.current;
    }

    /** Ends the life of a worker; another one begins at its address later. */
    killWorker(workerId: string): void {
        const { cell, options } = this;
        const address = cell.records.get(workerId)?.address;
        if (address === undefined) {
            return;
        }
        cell.killWorker(address);
        cell.clock.schedule(options.downMs, () => {
            this.lives += 1;
            cell.removeFromList(workerId);
            cell.addWorker(`life-${this.lives}`, address);
            if (this.current !== undefined) {
                cell.refreshWorkers(this.current);
            }
        });
    }

    private observeStart(start: SeenStart): void {
        if (!this.options.isCrashing(start.task)) {
            return;
        }
        this.crashes.push(start);
        this.cell.clock.schedule(CRASH_AFTER_MS, () => {
            this.killWorker(start.workerId);
            this.endRestOfGang(start);
        });
    }

    /** Members of a gang end with the one that is gone. */
    private endRestOfGang({ task, run }: SeenStart): void {
        const step = task.slice(0, task.lastIndexOf("."));
        for (const other of this.cell.starts) {
            const address = this.cell.records.get(other.workerId)?.address;
            const isMember = other.run === run && other.task.startsWith(`${step}.`) &&
                this.cell.getBehavior(other.task, run).waitsForGang === true;
            if (isMember && address !== undefined) {
                this.cell.findModel(address)?.finishRun(other.task, run, "broken");
            }
        }
    }
}
