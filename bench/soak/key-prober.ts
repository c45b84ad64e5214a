/** Sends requests with a key that the operator revokes and restores, and with one that no client account has. */
import { sleep, systemClock } from "../../src/common/clock.js";
import type { Millis } from "../../src/common/clock.js";
import type { SoakChecker } from "./checker.js";

/** Sends a request with a key; resolves to whether it was served. A rejected promise means that no response arrived. */
export type SendProbe = (address: string, key: "revocable" | "unknown") => Promise<boolean>;

/** Dependencies of a {@link KeyProber}. */
export interface KeyProberOptions {
    readonly checker: SoakChecker;
    readonly sendProbe: SendProbe;
    readonly setKeyRevoked: (isRevoked: boolean) => void;
    /** Addresses of the nodes that accept callers at present. */
    readonly listAddresses: () => readonly string[];
}

const PROBE_INTERVAL_MS: Millis = 120;
const FIRST_REVOCATION_MS: Millis = 200;
const REVOKED_MS: Millis = 5_000;
const RESTORED_MS: Millis = 2_000;

/** Probes all nodes in turn. */
export class KeyProber {
    private stopped = false;
    private probes = 0;

    constructor(private readonly options: KeyProberOptions) {}

    /** Runs until stopped. */
    async run(): Promise<void> {
        await Promise.all([this.sendProbes(), this.revokeRepeatedly()]);
    }

    /** Ends the probes. */
    stop(): void {
        this.stopped = true;
    }

    private async sendProbes(): Promise<void> {
        while (!this.stopped) {
            const addresses = this.options.listAddresses();
            const address = addresses[this.probes % Math.max(1, addresses.length)];
            this.probes += 1;
            if (address !== undefined) {
                void this.checkKey(address, "revocable");
                void this.checkKey(address, "unknown");
            }
            await sleep(systemClock, PROBE_INTERVAL_MS);
        }
    }

    private async checkKey(address: string, key: "revocable" | "unknown"): Promise<void> {
        const sentAt = systemClock.now();
        try {
            if (await this.options.sendProbe(address, key)) {
                this.options.checker.observeKeyServed(key, sentAt);
            }
        }
        catch {
            // A node that is down serves no key.
        }
    }

    private async revokeRepeatedly(): Promise<void> {
        const { checker, setKeyRevoked } = this.options;
        await sleep(systemClock, FIRST_REVOCATION_MS);
        while (!this.stopped) {
            setKeyRevoked(true);
            checker.observeRevocation(systemClock.now());
            await sleep(systemClock, REVOKED_MS);
            checker.observeRevocation(undefined);
            setKeyRevoked(false);
            await sleep(systemClock, RESTORED_MS);
        }
    }
}
