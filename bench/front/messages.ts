/** What the processes of the front bench tell each other. */

/** What the platform process is started with. */
export interface PlatformArguments {
    readonly workers: number;
    readonly slots: number;
}

/** What it answers once it serves. */
export interface PlatformReady {
    readonly storeUrl: string;
    readonly vmListUrl: string;
    readonly workerUrls: readonly string[];
}

/** What the entry process is started with. */
export interface EntryArguments {
    readonly storeUrl: string;
    readonly vmListUrl: string;
    readonly operatorTokenHash: string;
    /** Whether each decision is logged and metrics are sent. */
    readonly telemetry: boolean;
    /** UDP port that takes the metrics. */
    readonly metricsPort: number;
}

export interface EntryReady {
    readonly httpUrl: string;
}

/** Asked for with the message `usage`. */
export interface UsageReply {
    /** Processor time so far, in milliseconds. */
    readonly cpuMs: number;
    /** Resident memory, in bytes. */
    readonly rssBytes: number;
    /** 99th percentile of the delay of the event loop since the last question, in milliseconds. */
    readonly loopP99Ms: number;
}
