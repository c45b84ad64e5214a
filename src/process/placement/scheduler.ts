/** What the two schedulers, for slots and for room, have in common. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Books } from "./books.js";
import type { ItemRecord } from "./item-record.js";
import type { Learning } from "./learning.js";
import type { Decision } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { WaitingBook } from "./waiting-book.js";

/** State that the schedulers share. */
export interface SchedulerContext {
    readonly books: Books;
    readonly waiting: WaitingBook;
    readonly learning: Learning;
}

/** Decides for the work of one kind of capacity. */
export interface Scheduler {
    /** Puts an item into its waiting line. */
    enqueue(record: ItemRecord, policy: Policy): void;
    /** Takes a waiting item out. */
    remove(record: ItemRecord): void;
    /** Appends decisions until nothing more can be decided or the list has the given length. */
    decide(now: Millis, random: Random, decisions: Decision[], most: number): void;
    /** Says in words why an item waits. */
    explain(record: ItemRecord, now: Millis): readonly string[];
}
