/** The leaders of a random day, one after the other and side by side, and how they are lost. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { RunEnd } from "../../process/jobs/job-events.js";
import type { CallerReply, CallerRequest } from "../../process/leader/requests.js";
import { EpochHistory } from "../../process/leadership/epoch-history.js";
import type { DayAdvice } from "./day-advice.js";
import type { LeaderCell, TestLeader } from "./leader-cell.js";

/** Nodes that ask the advice service for the leader. */
export const DAY_NODES = ["n1", "n2", "n3", "n4"];
const LONGEST_VACANCY_MS: Millis = 1_500;
const LONGEST_PAUSE_MS: Millis = 9_000;
/** Time after a stop within which what follows from it is decided, written and ordered. */
const AFTER_STOP_MS: Millis = 120;

/** The leaders; see the module comment. */
export class DayLeaders {
    readonly all: TestLeader[] = [];
    /** Leaders that have handed over. */
    private readonly closed = new Set<TestLeader>();
    private readonly epochs = new EpochHistory();
    private current: TestLeader | undefined;
    private lossesAtStop = 0;

    /**
     * @param cell - Store, clock and workers.
     * @param random - Of the day.
     * @param advice - The advice service.
     */
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

    /** Makes a node the leader. */
    async install(wasHandedOver = false): Promise<void> {
        this.current = await this.cell.startLeader(wasHandedOver, this.epochs);
        this.all.push(this.current);
        DAY_NODES.forEach(node => this.addCaller(node));
    }

    /** Adds a node that asks for the newest leader, or another link to it. */
    addCaller(node: string): void {
        const { leader, clock } = this.get();
        clock.post(() => leader.addCaller(this.advice.buildCaller(node, clock)));
    }

    /** Removes a node that asks for the newest leader. */
    removeCaller(node: string): void {
        const { leader, clock } = this.get();
        clock.post(() => leader.advice.removeCaller(node));
    }

    /** Has another node follow a leader that has ended. */
    async ensure(): Promise<void> {
        if (this.isOver(this.get()) || this.get().clock.isKilled()) {
            await this.cell.clock.step(this.random.pickInt(LONGEST_VACANCY_MS));
            await this.install();
        }
    }

    /** Has another node lead: the leader dies, stands still, hands over, or goes on beside it. */
    async replace(): Promise<void> {
        const { clock } = this.get();
        switch (this.random.pickInt(5)) {
            case 0:
                this.pause(clock);
                await this.cell.clock.step(this.random.pickInt(LONGEST_VACANCY_MS));
                break;
            case 1:
                return this.replaceInPeace();
            case 2:
                break;
            default:
                clock.kill();
                await this.cell.clock.step(this.random.pickInt(LONGEST_VACANCY_MS));
        }
        await this.install();
    }

    /** Has the leader lost right after the next stop of a run. */
    planLossAtStop(): void {
        this.lossesAtStop += 1;
    }

    /** Takes in that a run was stopped. */
    handleStopped(): void {
        if (this.lossesAtStop === 0) {
            return;
        }
        this.lossesAtStop -= 1;
        const { clock } = this.get();
        const isKill = this.random.pickInt(2) === 0;
        this.cell.clock.schedule(this.random.pickInt(AFTER_STOP_MS), () => {
            return isKill ? clock.kill() : this.pause(clock);
        });
    }

    /** Ends all faults that leaders have. */
    heal(): void {
        this.lossesAtStop = 0;
        this.get().clock.resume();
        for (const { storePath } of this.all) {
            Object.assign(storePath.faults, { slowMs: 0, dropAnswerShare: 0 });
        }
    }

    /** Asks a leader, which a paused one hears later and a dead one never. */
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

    /** Tells whether every leader that heard of a run's end held the run for the task's current one. */
    hasTakenEnd(task: string, run: number): boolean {
        const ends = this.all.flatMap(({ log }) =>
            log.lines.filter(({ event, fields }) =>
                event === "runEnded" && fields.task === task && fields.run === run
            )
        );
        return ends.length > 0 &&
            ends.every(({ fields }) => fields.isCurrent === true && fields.end !== RunEnd.lost);
    }

    /** Shows the worker list to all who lead, or think so; a paused one sees it when it wakes. */
    publishWorkers(): void {
        for (const leader of this.all) {
            leader.clock.post(() => {
                if (!this.isOver(leader)) {
                    this.cell.refreshWorkers(leader);
                }
            });
        }
    }

    /** Tells all leaders that another configuration is in force. */
    publishConfig(): void {
        this.all.forEach(({ leader, clock }) => clock.post(() => leader.handleConfig()));
    }

    /** Counts lines of all leaders' logs. */
    countLines(event: string): number {
        return this.all.flatMap(({ log }) => log.lines).filter(line => line.event === event).length;
    }

    private isOver(leader: TestLeader): boolean {
        return leader.deposed.length > 0 || this.closed.has(leader);
    }

    private pause(clock: TestLeader["clock"]): void {
        clock.pause();
        this.cell.clock.schedule(500 + this.random.pickInt(LONGEST_PAUSE_MS), () => clock.resume());
    }

    private async replaceInPeace(): Promise<void> {
        const old = this.get();
        let isFlushed = false;
        void old.leader.flush().then(() => isFlushed = true);
        await this.cell.clock.step(this.random.pickInt(200));
        old.leader.close();
        this.closed.add(old);
        await this.install(isFlushed);
    }
}
