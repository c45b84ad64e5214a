/**
 * A leader cell whose workers crash under some tasks and restart at the same addresses as new incarnations.
 */
import type { Millis } from "../../common/clock.js";
import { LeaderCell } from "./leader-cell.js";
import type { RunStart, TestLeader } from "./leader-cell.js";

/** Time from the start of a task to the crash that it causes. */
const CRASH_AFTER_MS: Millis = 10;

/** Options of a {@link CrashCell}. */
export interface CrashCellOptions {
    readonly workers: number;
    /** Time until a crashed worker restarts. */
    readonly downMs: Millis;
    /** Returns whether a task crashes the worker that starts it. */
    readonly isCrashing: (task: string) => boolean;
}

/** Runs a {@link LeaderCell} with crashing workers and one leader at a time. */
export class CrashCell {
    readonly cell: LeaderCell;
    /** Starts under which a worker crashed. */
    readonly crashes: RunStart[] = [];
    private current: TestLeader | undefined;
    private restarts = 0;

    constructor(private readonly options: CrashCellOptions) {
        this.cell = new LeaderCell(options.workers);
        this.cell.handleStarted = start => this.observeStart(start);
    }

    /** The current leader. */
    get leader(): TestLeader {
        if (this.current === undefined) {
            throw new Error("no leader yet: call startLeader first");
        }
        return this.current;
    }

    /** Starts the first leader, or closes the current one and starts its successor. */
    async startLeader(): Promise<TestLeader> {
        this.current?.leader.close();
        this.current = await this.cell.startLeader();
        await this.cell.clock.step(100);
        return this.current;
    }

    /** Kills a worker; a new incarnation starts at its address after `downMs`. */
    killWorker(workerId: string): void {
        const { cell, options } = this;
        const address = cell.records.get(workerId)?.address;
        if (address === undefined) {
            return;
        }
        cell.killWorker(address);
        cell.clock.schedule(options.downMs, () => {
            this.restarts += 1;
            cell.removeFromList(workerId);
            cell.addWorker(`life-${this.restarts}`, address);
            if (this.current !== undefined) {
                cell.refreshWorkers(this.current);
            }
        });
    }

    private observeStart(start: RunStart): void {
        if (!this.options.isCrashing(start.task)) {
            return;
        }
        this.crashes.push(start);
        this.cell.clock.schedule(CRASH_AFTER_MS, () => {
            this.killWorker(start.workerId);
            this.endRestOfGang(start);
        });
    }

    /** Ends the other members of the gang that the crashed task belonged to. */
    private endRestOfGang({ task, run }: RunStart): void {
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
