/** Events in order of time, then of creation: what feeds the core in the benches. */
import { Heap } from "heap-js";

interface Event {
    readonly at: number;
    readonly sequence: number;
    readonly act: () => void;
}

export class EventQueue {
    now = 0;
    private readonly heap = new Heap<Event>((left, right) =>
        left.at - right.at || left.sequence - right.sequence
    );
    private sequence = 0;

    schedule(at: number, act: () => void): void {
        this.sequence += 1;
        this.heap.push({ at: Math.max(at, this.now), sequence: this.sequence, act });
    }

    /** Runs all events up to an instant. */
    runUntil(end: number): void {
        for (let top = this.heap.peek(); top !== undefined && top.at <= end; top = this.heap.peek()) {
            this.heap.pop();
            this.now = top.at;
            top.act();
        }
        this.now = end;
    }
}
