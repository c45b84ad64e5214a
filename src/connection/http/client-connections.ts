/** What the HTTP servers of a process share: the table of all client connections, and the turns of pending requests. */
import type { Clock, Millis } from "../../common/clock.js";
import type { Log, Metrics } from "../../process/telemetry.js";
import { ArrivalTimeouts } from "./arrival-timeouts.js";
import type { ArrivalTimeoutsOptions } from "./arrival-timeouts.js";
import { ConnectionTable } from "./connection-table.js";
import type { ConnectionGroup, ShedReason } from "./connection-table.js";
import { TurnQueue } from "./turn-queue.js";

/** Dependencies of {@link ClientConnections}. */
export interface ClientConnectionsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Bytes that may be buffered for all clients together. */
    readonly maxHeldBytes: number;
    readonly timeouts: ArrivalTimeoutsOptions["limits"];
}

/** A client may cause any number of refusals: they are logged together. */
const REPORT_INTERVAL_MS: Millis = 1_000;

/** The client connections of one process. */
export class ClientConnections {
    readonly table: ConnectionTable;
    readonly turns = new TurnQueue();
    readonly clock: Clock;
    private timeouts: ArrivalTimeouts | undefined;
    /** Decisions that were not logged yet, by port and reason, while a report of them is scheduled. */
    private readonly reports = new Map<string, number>();

    constructor(private readonly options: ClientConnectionsOptions) {
        this.clock = options.clock;
        this.table = new ConnectionTable(options.clock, options.maxHeldBytes, {
            handleShed: (group, reason) => this.countShed(group, reason),
        });
    }

    /** Starts the timeouts of arriving requests; does nothing if they run. */
    startTimeouts(): ArrivalTimeouts {
        const { clock, timeouts: limits } = this.options;
        return this.timeouts ??= new ArrivalTimeouts({ clock, limits });
    }

    /** Stops the timeouts. */
    close(): void {
        this.timeouts?.close();
    }

    private countShed(group: ConnectionGroup, reason: ShedReason): void {
        const { metrics, clock } = this.options;
        metrics.count("http.shed", 1, { port: group.name, reason });
        const key = `${group.name} ${reason}`;
        const unreported = this.reports.get(key);
        if (unreported !== undefined) {
            this.reports.set(key, unreported + 1);
            return;
        }
        this.reports.set(key, 0);
        this.logShed(group, reason, 1);
        clock.schedule(REPORT_INTERVAL_MS, () => this.reportShed(group, reason, key));
    }

    private reportShed(group: ConnectionGroup, reason: ShedReason, key: string): void {
        const count = this.reports.get(key) ?? 0;
        this.reports.delete(key);
        if (count > 0) {
            this.logShed(group, reason, count);
        }
    }

    private logShed(group: ConnectionGroup, reason: ShedReason, count: number): void {
        this.options.log.warn("CR1404", "connectionLimit", {
            port: group.name,
            reason,
            count,
            connections: this.table.count(group),
            maxConnections: group.maxConnections,
            heldBytes: this.table.getHeldBytes(),
            maxHeldBytes: this.options.maxHeldBytes,
        });
    }
}
