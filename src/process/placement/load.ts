/** What a placer tells the others of its load. */
import { NO_RESOURCES } from "../../common/resources.js";
import type { PlacerLoad } from "../../connection/messages.js";
import { type Books, computeMost } from "./books.js";
import type { WaitingBook } from "./waiting-book.js";

/** @returns Load of a placer; goes through its workers, a few times a second. */
export function computeLoad(books: Books, waiting: WaitingBook): PlacerLoad {
    let freeSlots = 0;
    let totalSlots = 0;
    let largestFree = NO_RESOURCES;
    for (const worker of books.workers.values()) {
        if (worker.open) {
            const ceiling = worker.getSlotCeiling();
            totalSlots += ceiling;
            freeSlots += Math.max(0, ceiling - worker.inFlight);
            largestFree = computeMost(largestFree, {
                cpuMillis: worker.freeCpu,
                memoryMib: worker.freeMemory,
                accelerators: worker.freeAccelerators,
            });
        }
    }
    return {
        workers: books.workers.size,
        freeSlots,
        totalSlots,
        queuedRequests: waiting.requests,
        queuedTasks: waiting.tasks,
        free: books.sumFree(),
        total: books.teams.total,
        largestFree,
        largestWorker: books.getLargestCapacity(),
        teamUse: books.teams.listUse(),
    };
}
