/** The load that a placer reports to the other entries. */
import { NO_RESOURCES } from "../../common/resources.js";
import type { PlacerLoad } from "../../connection/messages.js";
import { type AllocationLedger, computeMaximum } from "./allocation-ledger.js";
import type { WaitingTracker } from "./waiting-tracker.js";

/** @returns Load of a placer. Scans all its workers, which is cheap enough for a few calls per second. */
export function computeLoad(ledger: AllocationLedger, waiting: WaitingTracker): PlacerLoad {
    let freeSlots = 0;
    let totalSlots = 0;
    let largestFree = NO_RESOURCES;
    for (const worker of ledger.workers.values()) {
        if (worker.open) {
            const ceiling = worker.getSlotCeiling();
            totalSlots += ceiling;
            freeSlots += Math.max(0, ceiling - worker.inFlight);
            largestFree = computeMaximum(largestFree, {
                cpuMillis: worker.freeCpu,
                memoryMib: worker.freeMemory,
                accelerators: worker.freeAccelerators,
            });
        }
    }
    return {
        workers: ledger.workers.size,
        freeSlots,
        totalSlots,
        queuedRequests: waiting.requests,
        queuedTasks: waiting.tasks,
        free: ledger.sumFree(),
        total: ledger.teams.total,
        largestFree,
        largestWorker: ledger.getLargestCapacity(),
        teamUse: ledger.teams.listUse(),
    };
}
