/** Schema of the settings file of an entry. */
import { isIP } from "node:net";
import { z } from "zod";
import {
    buildChoiceSchema,
    buildCountSchema,
    buildMillisSchema,
    buildTextSchema,
} from "../../version/index.js";

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const NAME_ALLOWED = "1 to 63 lower-case letters, digits and hyphens, beginning with a letter or digit";
const MIN_SECRET_LENGTH = 16;
const MAX_SECRET_LENGTH = 256;
const MEBIBYTE = 1_048_576;

/** Log levels, from the most to the least verbose. */
export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;

function buildIpSchema(about: string, example: string) {
    const allowed = `an IP number, such as "${example}"`;
    return z.string().refine(value => isIP(value) !== 0, { error: allowed }).meta({
        description: about,
        allowed,
    });
}

function buildPortSchema(min: number, about: string) {
    return buildCountSchema(min, 65_535, about);
}

function isBaseUrl(value: string): boolean {
    try {
        const url = new URL(value);
        return (url.protocol === "http:" || url.protocol === "https:") && url.pathname === "/" &&
            url.search === "";
    }
    catch {
        return false;
    }
}

function buildUrlSchema(about: string) {
    const allowed = 'an http or https address without a path, such as "http://10.0.0.9:2400"';
    return z.string().refine(isBaseUrl, { error: allowed }).meta({ description: about, allowed });
}

const listenSchema = z.strictObject({
    host: buildIpSchema('IP number of the interface to listen on; "0.0.0.0" for all.', "0.0.0.0"),
    port: buildPortSchema(0, "Port to listen on; 0 lets the operating system pick one."),
}).meta({ allowed: "{host, port}" });

const advertiseSchema = z.strictObject({
    host: buildIpSchema("IP number at which others reach this process.", "10.0.0.5"),
    port: buildPortSchema(1, "Port at which others reach this process.").optional(),
}).meta({ allowed: "{host, port}" });

const operatorSchema = z.strictObject({
    name: buildTextSchema(NAME_PATTERN, NAME_ALLOWED, "Name written into the history of the tree."),
    tokenSha256: buildTextSchema(
        /^[0-9a-f]{64}$/,
        "the SHA-256 of the token as 64 lower-case hexadecimal digits",
        "SHA-256 of the operator's token.",
    ),
});

const DEFAULT_LIMITS = {
    maxBodyBytes: 8 * MEBIBYTE,
    maxHeaderBytes: 16_384,
    maxConnections: 10_000,
    maxInFlight: 4_000,
    headersTimeoutMs: 10_000,
    requestTimeoutMs: 60_000,
};

const limitsSchema = z.strictObject({
    maxBodyBytes: buildCountSchema(1_024, 64 * MEBIBYTE, "Largest body of a request.", "bytes")
        .default(DEFAULT_LIMITS.maxBodyBytes),
    maxHeaderBytes: buildCountSchema(1_024, MEBIBYTE, "Largest head of a request.", "bytes")
        .default(DEFAULT_LIMITS.maxHeaderBytes),
    maxConnections: buildCountSchema(
        1,
        1_000_000,
        "Connections of callers and operators at once.",
        "connections",
    )
        .default(DEFAULT_LIMITS.maxConnections),
    maxInFlight: buildCountSchema(1, 1_000_000, "Requests under way at once; more are shed.", "requests")
        .default(DEFAULT_LIMITS.maxInFlight),
    headersTimeoutMs: buildMillisSchema(100, 600_000, "Longest time that a client may take to send the head.")
        .default(DEFAULT_LIMITS.headersTimeoutMs),
    requestTimeoutMs: buildMillisSchema(
        100,
        600_000,
        "Longest time that a client may take to send the whole request.",
    )
        .default(DEFAULT_LIMITS.requestTimeoutMs),
});

/** Schema of the settings file. */
export const entrySettingsSchema = z.strictObject({
    memberName: buildTextSchema(
        NAME_PATTERN,
        NAME_ALLOWED,
        "Name of this entry in logs and status. Each life of the process adds a unique part, so that a restarted entry is never taken for the one before.",
    ),
    cell: buildTextSchema(
        NAME_PATTERN,
        NAME_ALLOWED,
        "Name of the cell; entries of other cells are refused.",
    ),
    failureDomain: buildTextSchema(
        NAME_PATTERN,
        NAME_ALLOWED,
        "Failure domain that this VM stands in, named as in the VM list.",
    ),
    peers: z.strictObject({
        listen: listenSchema,
        advertise: advertiseSchema.meta({
            description: "Where other entries reach this one; left out, it is the listening address.",
        }).optional(),
        secret: z.string().min(MIN_SECRET_LENGTH).max(MAX_SECRET_LENGTH).meta({
            description: "Secret shared by all entries of the cell; proved in the handshake and never sent.",
            secret: true,
            allowed: `a text of ${MIN_SECRET_LENGTH} to ${MAX_SECRET_LENGTH} characters`,
        }),
    }).meta({ description: "Links between entries." }),
    http: z.strictObject({
        listen: listenSchema,
        advertise: advertiseSchema.meta({
            description:
                "Where callers and operators reach this entry directly; left out, it is the listening address.",
        }).optional(),
    }).meta({ description: "The interface for callers and operators." }),
    platform: z.strictObject({
        store: buildUrlSchema("The configuration store."),
        vmList: buildUrlSchema("The VM list."),
    }).meta({ description: "The platform's services." }),
    metrics: z.strictObject({
        host: buildIpSchema("IP number of the StatsD sink.", "127.0.0.1"),
        port: buildPortSchema(1, "UDP port of the sink."),
    }).meta({ description: "Where metrics go; left out, none are sent." }).optional(),
    logLevel: buildChoiceSchema(LOG_LEVELS, "Least serious lines that are logged. Decisions are `info`.")
        .default("info"),
    limits: limitsSchema.meta({ description: "Limits towards callers." }).default(DEFAULT_LIMITS),
    shutdownMs: buildMillisSchema(
        1_000,
        600_000,
        "Longest time that a shutdown may take, from the signal to the end of the process.",
    ).default(20_000),
    operators: z.array(operatorSchema).max(1_000).meta({
        description: "Operators that may use the administration interface.",
        allowed: "list of at most 1000 operators",
    }).default([]),
});

/** Settings of an entry process, with defaults filled in. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
