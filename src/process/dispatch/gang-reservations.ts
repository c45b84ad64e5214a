/** Free capacity that gangs without enough of it keep in one pass. */
import { addResources, isWithin, NO_RESOURCES } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { Step } from "../jobs/job.js";
import type { Slot } from "./pool-view.js";

/** The reservations of one pass. */
export class GangReservations {
    private readonly kept = new Map<Slot, Resources>();

    /**
     * Adds the places that a gang found and keeps.
     * @param slots - The worker of each place.
     */
    add({ spec: { demand } }: Step, slots: readonly Slot[]): void {
        for (const slot of slots) {
            this.kept.set(slot, addResources(this.kept.get(slot) ?? NO_RESOURCES, demand));
        }
    }

    /** Tells whether a demand would fit on a worker if no gang kept capacity there. */
    isKeptFrom({ spec: { demand } }: Step, slot: Slot): boolean {
        const kept = this.kept.get(slot);
        return kept !== undefined && !isWithin(demand, slot.free) &&
            isWithin(demand, addResources(slot.free, kept));
    }
}
