/** The client accounts of a random day: keys and quotas, which change, and a check that no quota is exceeded. */
import type { Clock, Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { addResources, NO_RESOURCES } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { Credential } from "../../process/accounts/credential.js";
import { parseTaskName } from "../../process/jobs/job-spec.js";
import type { AccountConfig } from "../../version/cluster-config.js";

/** Processors of the quotas, in thousandths; 0 is no limit. */
const QUOTAS_CPU: readonly number[] = [48_000, 18_000, 0];
const ALLOWED_OVERAGE = 0.1;
/** Time for which an earlier configuration may still be in force. */
const CONFIG_APPLY_MS: Millis = 3_000;

interface LiveRun {
    readonly account: number;
    readonly demand: Resources;
}

/** Accounts of a day, by index; the index after the last one stands for a key that no account has. */
export class DayAccounts {
    private readonly live = new Map<string, LiveRun>();
    /** Factor on all quotas, and when it was set. */
    private readonly factors: { readonly at: Millis; readonly factor: number; }[] = [{ at: 0, factor: 1 }];

    constructor(private readonly clock: Clock, private readonly faults: string[]) {}

    /** Builds the accounts for a configuration. */
    buildConfig(): readonly AccountConfig[] {
        const factor = this.factors.at(-1)?.factor ?? 1;
        return QUOTAS_CPU.map((cpuMillis, index) => ({
            name: `account-${index}`,
            keyDigests: [`key-${index}`],
            weight: 1 + index,
            quota: { cpuMillis: cpuMillis * factor, memoryMib: 0, accelerators: 0 },
        }));
    }

    /** Returns the key with which a job is sent. */
    getCredential(jobNumber: number): Credential {
        return `key-${findAccount(jobNumber)}`;
    }

    /** Halves or restores all quotas. */
    setRandomQuotas(random: Random): void {
        this.setFactor(random.pickInt(2) === 0 ? 1 / 2 : 1);
    }

    /** Restores all quotas. */
    heal(): void {
        this.setFactor(1);
    }

    /** Records the start of a run and checks its account's quota. */
    observeStart(workerId: string, task: string, demand: Resources): void {
        const account = findAccount(Number.parseInt(parseTaskName(task)?.jobId ?? "", 16));
        if (account === QUOTAS_CPU.length) {
            this.faults.push(`${task} began, though its job was sent with an unknown key`);
        }
        this.live.set(`${workerId} ${task}`, { account, demand });
        const used = [...this.live.values()]
            .filter(run => run.account === account)
            .reduce((sum, run) => addResources(sum, run.demand), NO_RESOURCES);
        const quota = (QUOTAS_CPU[account] ?? 0) * this.computeHighestFactor();
        if (quota > 0 && used.cpuMillis > quota * (1 + ALLOWED_OVERAGE) + demand.cpuMillis) {
            this.faults.push(`${task} began with ${used.cpuMillis} of ${quota} in use by account ${account}`);
        }
    }

    /** Records the end of a run. */
    observeEnd(workerId: string, task: string): void {
        this.live.delete(`${workerId} ${task}`);
    }

    private setFactor(factor: number): void {
        this.factors.push({ at: this.clock.now(), factor });
    }

    /** Computes the highest factor of the configurations that may be in force. */
    private computeHighestFactor(): number {
        const since = this.clock.now() - CONFIG_APPLY_MS;
        const current = this.factors.filter(({ at }, index) =>
            at >= since || (this.factors[index + 1]?.at ?? Infinity) > since
        );
        return Math.max(...current.map(({ factor }) => factor));
    }
}

function findAccount(jobNumber: number): number {
    return jobNumber % (QUOTAS_CPU.length + 1);
}
