/**
 * Tracks since when the configuration is known to be the newest one, so that a revoked key is refused even if this node
 * can't hear of the revocation.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { Log } from "../telemetry.js";

/** Dependencies of a {@link ConfigConfirmation}. */
export interface ConfigConfirmationOptions {
    readonly clock: Clock;
    readonly log: Log;
    /** Longest time from a revocation to the last request that its key may make; undefined for no limit. */
    readonly revocationMs: Millis | undefined;
    /** Whether the configuration in force has client accounts. */
    readonly hasAccounts: () => boolean;
    /** Asks the store whether the configuration in force is the newest, after applying a newer one. */
    readonly confirm: (timeout: Millis) => Promise<boolean>;
}

/** Time between two calls to the store, which do not wait for each other. */
const CONFIRM_INTERVAL_MS: Millis = 500;
const CONFIRM_TIMEOUT_MS: Millis = 1_500;
/** Time between two calls while the confirmation has expired, as it does when the wall clock is set forward. */
const EXPIRED_INTERVAL_MS: Millis = 50;
/** Covers the difference between this clock and that of the store, and the time to check a request. */
const REVOCATION_MARGIN_MS: Millis = 250;

/** Two clocks: the monotonic one misses a suspension of the VM, the wall clock may be set back. */
interface Instant {
    readonly monotonic: Millis;
    readonly wall: Millis;
}

/**
 * Confirms the configuration in force while a node leads.
 *
 * @remarks An answer of the store is at least as new as its call. A request that is checked within `revocationMs` of the
 * call was therefore sent within that time of any revocation that the configuration lacks. A silent watch proves nothing.
 */
export class ConfigConfirmation {
    private confirmedAt: Instant | undefined;
    private wasValid = true;
    private lastCallAt: Millis = -Infinity;
    private timer: Timer | undefined;
    private closed = false;

    constructor(private readonly options: ConfigConfirmationOptions) {
        this.run();
    }

    /** Whether requests may be granted access by the configuration in force. */
    isValid(): boolean {
        const { revocationMs } = this.options;
        if (revocationMs === undefined || !this.options.hasAccounts()) {
            return true;
        }
        const ageMs = this.getAgeMs();
        const isValid = ageMs <= revocationMs - REVOCATION_MARGIN_MS;
        if (isValid !== this.wasValid) {
            this.wasValid = isValid;
            this.logChange(isValid, ageMs);
        }
        if (!isValid && this.options.clock.now() - this.lastCallAt >= EXPIRED_INTERVAL_MS) {
            void this.confirm();
        }
        return isValid;
    }

    /** Returns the time since the last confirming call was sent; infinite before the first. */
    private getAgeMs(): Millis {
        const { clock } = this.options;
        return this.confirmedAt === undefined ?
            Infinity :
            Math.max(clock.now() - this.confirmedAt.monotonic, clock.wallNow() - this.confirmedAt.wall);
    }

    /** Ends the calls to the store. */
    close(): void {
        this.closed = true;
        this.timer?.cancel();
    }

    private run(): void {
        const { clock, revocationMs, hasAccounts } = this.options;
        if (revocationMs !== undefined && hasAccounts()) {
            void this.confirm();
        }
        this.timer = clock.schedule(CONFIRM_INTERVAL_MS, () => this.run());
    }

    private async confirm(): Promise<void> {
        const { clock, confirm } = this.options;
        const sentAt = { monotonic: clock.now(), wall: clock.wallNow() };
        this.lastCallAt = sentAt.monotonic;
        const isCurrent = await confirm(CONFIRM_TIMEOUT_MS);
        if (isCurrent && !this.closed && sentAt.monotonic > (this.confirmedAt?.monotonic ?? -Infinity)) {
            this.confirmedAt = sentAt;
        }
    }

    private logChange(isValid: boolean, ageMs: Millis): void {
        const fields = { ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined };
        if (isValid) {
            this.options.log.info("accessConfirmed", fields);
        }
        else {
            this.options.log.warn("CR1650", "accessUnconfirmed", fields);
        }
    }
}
