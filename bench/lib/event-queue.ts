/** Event queue of the simulated benches; events run in order of time, then of creation. */
import { Heap } from "heap-js";

interface Event {
    readonly at: number;
    readonly sequence: number;
    readonly callback: () => void;
}

export class EventQueue {
    now = 0;
    private readonly heap = new Heap<Event>((left, right) =>
        left.at - right.at || left.sequence - right.sequence
    );
    private sequence = 0;

    schedule(at: number, act: () => void): void {
        this.sequence += 1;
        this.heap.push({ at: Math.max(at, this.now), sequence: this.sequence, callback: act });
    }

    /** Runs all events up to and including `end` and advances the simulated time to it. */
    runUntil(end: number): void {
        for (let top = this.heap.peek(); top !== undefined && top.at <= end; top = this.heap.peek()) {
            this.heap.pop();
            this.now = top.at;
            top.callback();
        }
        this.now = end;
    }
}
