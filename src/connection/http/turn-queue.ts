/** Spreads work that clients have sent ahead over turns of the event loop. */

/** Tasks that run in one turn. Between turns, other connections are read and timers run. */
const TASKS_PER_TURN = 16;

/** A queue of short tasks, of which each turn of the event loop runs a few. */
export class TurnQueue {
    private tasks: (() => void)[] = [];
    private isScheduled = false;

    /** Adds a task, which runs in a later turn. */
    add(task: () => void): void {
        this.tasks.push(task);
        this.schedule();
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.runTurn());
        }
    }

    private runTurn(): void {
        this.isScheduled = false;
        const turn = this.tasks.splice(0, TASKS_PER_TURN);
        turn.forEach(task => task());
        if (this.tasks.length > 0) {
            this.schedule();
        }
    }
}
