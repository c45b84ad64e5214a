/** Questions to the advice service, put one after the other as passes of a leader would. */
import type { AdviceDesk, AdviceQuestion } from "../../process/dispatch/advice-desk.js";

/** What matters to a test; the rest is as for a first question of a step with room. */
export type TestQuestion =
    & Pick<AdviceQuestion, "step" | "workerIds" | "policy" | "priority">
    & Partial<AdviceQuestion>;

/** Keeps what waits, as a leader does. */
export class QuestionLine {
    private readonly waiting = new Set<AdviceQuestion>();

    /** @param desk - Takes the questions. */
    constructor(private readonly desk: AdviceDesk) {}

    /** Adds a question behind those that wait. */
    enqueue(question: TestQuestion): void {
        const whole: AdviceQuestion = {
            hasRoom: true,
            isFirst: true,
            since: 0,
            isWanted: () => true,
            ...question,
            handleSent: nodeName => {
                this.waiting.delete(whole);
                question.handleSent?.(nodeName);
            },
            settle: (answer, askedAt) => {
                this.waiting.delete(whole);
                question.settle?.(answer, askedAt);
            },
        };
        this.waiting.add(whole);
        this.desk.replaceWaiting([...this.waiting]);
    }
}
