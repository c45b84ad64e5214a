/**
 * Free capacity that gangs without enough of it keep in one pass.
 *
 * @remarks Smaller tasks would otherwise use all capacity that comes free, and the gang would never start. How long the
 * gang waits is not known, so an overdue step may use what it keeps.
 */
import { addResources, isWithin, NO_RESOURCES } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { QuotaLedger } from "../accounts/quota-ledger.js";
import type { Step } from "../jobs/job.js";
import type { Slot } from "./pool-view.js";

interface Reservation {
    readonly gang: Step;
    /** The worker of each place that the gang keeps. */
    readonly slots: readonly Slot[];
}

/** The reservations of one pass. */
export class GangReservations {
    private readonly reservations: Reservation[] = [];
    private readonly kept = new Map<Slot, Resources>();

    constructor(private readonly quotas: QuotaLedger) {}

    /**
     * Adds a gang, and deducts all its tasks from its account's quota.
     * @param slots - The worker of each place that it found and that is deducted already.
     */
    add(gang: Step, slots: readonly Slot[]): void {
        const { demand } = gang.spec;
        for (const slot of slots) {
            this.kept.set(slot, addResources(this.kept.get(slot) ?? NO_RESOURCES, demand));
        }
        this.reservations.push({ gang, slots });
        this.takeQuota(gang);
    }

    /** Tells whether a gang waits with a reservation. */
    has(step: Step): boolean {
        return this.reservations.some(({ gang }) => gang === step);
    }

    /** Lists the gangs. */
    listGangs(): readonly Step[] {
        return this.reservations.map(({ gang }) => gang);
    }

    /** Tells whether a demand would fit on a worker if no gang kept capacity there. */
    isKeptFrom({ spec: { demand } }: Step, slot: Slot): boolean {
        const kept = this.kept.get(slot);
        return kept !== undefined && !isWithin(demand, slot.free) &&
            isWithin(demand, addResources(slot.free, kept));
    }

    /** Runs a function while nothing is kept. Where it uses some of that, more is kept afterwards than there is. */
    runWithout(plan: () => void): void {
        const released = [...this.reservations];
        for (const { gang, slots } of released) {
            slots.forEach(slot => slot.release(gang));
            for (let task = 0; task < gang.tasks.length; task++) {
                this.quotas.release(gang.job.account, gang.spec.demand);
            }
        }
        plan();
        for (const { gang, slots } of released) {
            slots.forEach(slot => slot.take(gang));
            this.takeQuota(gang);
        }
    }

    private takeQuota({ tasks, job, spec }: Step): void {
        for (let task = 0; task < tasks.length; task++) {
            this.quotas.take(job.account, spec.demand);
        }
    }
}
