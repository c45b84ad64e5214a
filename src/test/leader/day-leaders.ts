/** The leaders of a random day, successive and concurrent, and their failures. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { RunEnd } from "../../process/jobs/job-events.js";
import type { CallerReply, CallerRequest } from "../../process/leader/requests.js";
import { EpochHistory } from "../../process/leadership/epoch-history.js";
import type { DayAdvice } from "./day-advice.js";
import type { LeaderCell, TestLeader } from "./leader-cell.js";

/** Names of the nodes that call the advice service for the leader. */
export const DAY_NODES = ["n1", "n2", "n3", "n4"];
const MAX_VACANCY_MS: Millis = 1_500;
const MAX_PAUSE_MS: Millis = 9_000;
/** Time after a stopped run within which its consequences are decided, written and ordered. */
const AFTER_STOP_MS: Millis = 120;

/** Starts, replaces and fails the leaders of a random day. */
export class DayLeaders {
    readonly all: TestLeader[] = [];
    /** Leaders that have handed over. */
    private readonly closed = new Set<TestLeader>();
    private readonly epochs = new EpochHistory();
    private current: TestLeader | undefined;
    private plannedLosses = 0;

    constructor(
        private readonly cell: LeaderCell,
        private readonly random: Random,
        private readonly advice: DayAdvice,
    ) {}

    /** Returns the newest leader. */
    get(): TestLeader {
        if (this.current === undefined) {
            throw new Error("call install first");
        }
        return this.current;
    }

    /** Starts a leader that becomes the current one. */
    async install(wasHandedOver = false): Promise<void> {
        this.current = await this.cell.startLeader(wasHandedOver, this.epochs);
        this.all.push(this.current);
        DAY_NODES.forEach(node => this.addCaller(node));
    }

    /** Connects a node that calls the advice service to the newest leader, or adds another link of it. */
    addCaller(node: string): void {
        const { leader, clock } = this.get();
        clock.post(() => leader.addCaller(this.advice.buildCaller(node, clock)));
    }

    /** Disconnects a node from the newest leader. */
    removeCaller(node: string): void {
        const { leader, clock } = this.get();
        clock.post(() => leader.advice.removeCaller(node));
    }

    /** Starts another leader if the current one has ended. */
    async ensure(): Promise<void> {
        if (this.isOver(this.get()) || this.get().clock.isKilled()) {
            await this.cell.clock.step(this.random.pickInt(MAX_VACANCY_MS));
            await this.install();
        }
    }

    /** Starts another leader; the current one is killed, is paused, hands over, or keeps running. */
    async replace(): Promise<void> {
        const { clock } = this.get();
        switch (this.random.pickInt(5)) {
            case 0:
                this.pause(clock);
                await this.cell.clock.step(this.random.pickInt(MAX_VACANCY_MS));
                break;
            case 1:
                return this.replaceByHandover();
            case 2:
                break;
            default:
                clock.kill();
                await this.cell.clock.step(this.random.pickInt(MAX_VACANCY_MS));
        }
        await this.install();
    }

    /** Plans that the leader is lost right after the next run that is stopped. */
    planLossAtStop(): void {
        this.plannedLosses += 1;
    }

    /** Handles a stopped run: carries out a planned loss of the leader. */
    handleStopped(): void {
        if (this.plannedLosses === 0) {
            return;
        }
        this.plannedLosses -= 1;
        const { clock } = this.get();
        const isKill = this.random.pickInt(2) === 0;
        this.cell.clock.schedule(this.random.pickInt(AFTER_STOP_MS), () => {
            return isKill ? clock.kill() : this.pause(clock);
        });
    }

    /** Ends all faults that leaders have. */
    heal(): void {
        this.plannedLosses = 0;
        this.get().clock.resume();
        for (const { storePath } of this.all) {
            Object.assign(storePath.faults, { slowMs: 0, dropAnswerShare: 0 });
        }
    }

    /** Sends a request to a leader; a paused leader receives it when it resumes, a killed one never. */
    request(leader: TestLeader, request: CallerRequest): Promise<CallerReply> {
        return new Promise(resolve => {
            leader.clock.post(() => {
                if (this.isOver(leader)) {
                    resolve({ kind: "unknown", message: "the leader has changed" });
                }
                else {
                    void leader.leader.serve(request).then(resolve);
                }
            });
        });
    }

    /**
     * Returns whether all leaders that learned of a run's end, at least one, took the run for the task's
     * current one.
     */
    hasAcceptedEnd(task: string, run: number): boolean {
        const ends = this.all.flatMap(({ log }) =>
            log.lines.filter(({ event, fields }) =>
                event === "runEnded" && fields.task === task && fields.run === run
            )
        );
        return ends.length > 0 &&
            ends.every(({ fields }) => fields.isCurrent === true && fields.end !== RunEnd.lost);
    }

    /**
     * Sends the worker list to all that lead or still believe so; a paused leader receives it on resuming.
     */
    publishWorkers(): void {
        for (const leader of this.all) {
            leader.clock.post(() => {
                if (!this.isOver(leader)) {
                    this.cell.refreshWorkers(leader);
                }
            });
        }
    }

    /** Notifies all leaders that another configuration is in force. */
    publishConfig(): void {
        this.all.forEach(({ leader, clock }) => clock.post(() => leader.handleConfig()));
    }

    /** Counts the log lines of an event over all leaders. */
    countLines(event: string): number {
        return this.all.flatMap(({ log }) => log.lines).filter(line => line.event === event).length;
    }

    private isOver(leader: TestLeader): boolean {
        return leader.deposed.length > 0 || this.closed.has(leader);
    }

    private pause(clock: TestLeader["clock"]): void {
        clock.pause();
        this.cell.clock.schedule(500 + this.random.pickInt(MAX_PAUSE_MS), () => clock.resume());
    }

    private async replaceByHandover(): Promise<void> {
        const old = this.get();
        let isFlushed = false;
        void old.leader.flush().then(() => isFlushed = true);
        await this.cell.clock.step(this.random.pickInt(200));
        old.leader.close();
        this.closed.add(old);
        await this.install(isFlushed);
    }
}
