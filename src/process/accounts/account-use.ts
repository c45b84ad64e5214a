/** What the runs of each client account use, over all workers. */
import { addResources, NO_RESOURCES } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";

/** A run that counts towards its account's quota until it is known to have ended. */
export interface ChargedRun {
    /** Undefined for a run of an anonymous job. */
    readonly account: string | undefined;
    readonly demand: Resources;
}

/** Sum of the demands of runs, by account. */
export class AccountUse {
    private readonly useByAccount = new Map<string, Resources>();

    /** Adds runs; anonymous ones are ignored. */
    add(runs: Iterable<ChargedRun>): void {
        for (const { account, demand } of runs) {
            if (account !== undefined) {
                this.useByAccount.set(account, addResources(this.get(account), demand));
            }
        }
    }

    /** Returns what an account uses. */
    get(account: string): Resources {
        return this.useByAccount.get(account) ?? NO_RESOURCES;
    }
}
