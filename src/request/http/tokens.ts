/** Bearer tokens: identifies the sender of a request and decides whether a route accepts it. */
import * as crypto from "node:crypto";
import type { SettingsVersion } from "../../version/settings.js";
import { Access } from "./exchange.js";
import type { HttpReply, Identity } from "./exchange.js";
import { buildError } from "./replies.js";

/** A token of an operator, from the entry's settings. */
export interface OperatorToken {
    readonly name: string;
    /** SHA-256 of the token in hexadecimal. */
    readonly sha256: string;
}

/** Warning codes, listed in docs/WARNINGS.md. */
export const TokenCode = {
    unknown: "CR1401",
    wrongScope: "CR1402",
} as const;

/** Whether a token may use a route. */
export type TokenDecision =
    | { readonly kind: "accepted"; readonly identity: Identity | undefined; }
    | { readonly kind: "refused"; readonly code: string; readonly reply: HttpReply; };

interface KnownToken {
    readonly hash: Buffer;
    readonly identity: Identity;
}

/** Leading hexadecimal digits of a hash that select the bucket of tokens to compare. */
const BUCKET_DIGITS = 4;
const CALLER_PATTERN = /^[\w.:@-]{1,64}$/;

/** Table of all tokens in the settings tree and in the entry's settings. */
export class TokenTable {
    private settings: SettingsVersion | undefined;
    private buckets = new Map<string, KnownToken[]>();

    /** @param operators - Operators' tokens from the entry's settings. */
    constructor(private readonly operators: readonly OperatorToken[]) {
        this.rebuild();
    }

    /**
     * Finds the identity that a token belongs to.
     *
     * @remarks The first digits of the hash select a few candidates, and the hash is compared with each in
     * constant time. The time of the selection reveals at most these digits, from which no token can be
     * derived.
     * @param settings - The version in force, which holds the teams' tokens.
     */
    findIdentity(token: string, settings: SettingsVersion | undefined): Identity | undefined {
        if (settings !== this.settings) {
            this.settings = settings;
            this.rebuild();
        }
        const hash = hashToken(token);
        const bucket = this.buckets.get(hash.toString("hex").slice(0, BUCKET_DIGITS)) ?? [];
        let identity: Identity | undefined;
        for (const known of bucket) {
            if (crypto.timingSafeEqual(known.hash, hash)) {
                identity = known.identity;
            }
        }
        return identity;
    }

    private rebuild(): void {
        this.buckets = new Map();
        for (const { name, sha256 } of this.operators) {
            this.addToken(sha256, { kind: "operator", name });
        }
        for (const { team, tokenHashes } of this.settings?.teams.values() ?? []) {
            for (const hash of tokenHashes) {
                this.addToken(hash, { kind: "team", caller: { callerId: team, team } });
            }
        }
    }

    private addToken(sha256: string, identity: Identity): void {
        const hash = Buffer.from(sha256, "hex");
        if (hash.length !== SHA256_BYTES) {
            return;
        }
        const digits = hash.toString("hex").slice(0, BUCKET_DIGITS);
        this.buckets.set(digits, [...this.buckets.get(digits) ?? [], { hash, identity }]);
    }
}

const SHA256_BYTES = 32;

/** Uses `crypto.hash` where this version of Node has it: it costs a third of `createHash`. */
function hashToken(token: string): Buffer {
    const { hash }: Partial<Pick<typeof crypto, "hash">> = crypto;
    return hash?.("sha256", token, "buffer") ?? crypto.createHash("sha256").update(token).digest();
}

const acceptedIdentities: Readonly<Record<Access, readonly Identity["kind"][]>> = {
    [Access.open]: [],
    [Access.team]: ["team"],
    [Access.operator]: ["operator"],
    [Access.reader]: ["team", "operator"],
};

/**
 * Decides whether a request may use a route.
 * @param access - Whose tokens the route accepts.
 * @param authorization - The `Authorization` header, if present.
 * @param callerId - The caller within the team, as named by the team; for fairness among its callers.
 */
export function decideAccess(
    access: Access,
    authorization: string | undefined,
    callerId: string | undefined,
    table: TokenTable,
    settings: SettingsVersion | undefined,
): TokenDecision {
    if (access === Access.open) {
        return { kind: "accepted", identity: undefined };
    }
    const token = /^bearer +([\x21-\x7e]{1,512})$/i.exec(authorization ?? "")?.[1];
    if (token === undefined) {
        return refuseUnknown("there is no bearer token");
    }
    const identity = table.findIdentity(token, settings);
    if (identity === undefined) {
        return refuseUnknown("the token is not known");
    }
    if (!acceptedIdentities[access].includes(identity.kind)) {
        return refuseScope(access);
    }
    return { kind: "accepted", identity: withCallerId(identity, callerId) };
}

function withCallerId(identity: Identity, callerId: string | undefined): Identity {
    if (identity.kind === "operator" || callerId === undefined || !CALLER_PATTERN.test(callerId)) {
        return identity;
    }
    const { team } = identity.caller;
    return { kind: "team", caller: { team, callerId: `${team}/${callerId}` } };
}

function refuseUnknown(message: string): TokenDecision {
    const reply = buildError(401, {
        kind: "unauthorized",
        message,
        remedy: "send `Authorization: Bearer TOKEN` with a token that an operator gave to your team",
        ran: "no",
    }, { "www-authenticate": 'Bearer realm="cactusrack"' });
    return { kind: "refused", code: TokenCode.unknown, reply };
}

function refuseScope(access: Access): TokenDecision {
    const requiredToken = access === Access.team ? "a team's token" : "an operators' token";
    const reply = buildError(403, {
        kind: "forbidden",
        message: "the token may not be used here",
        remedy: `use ${requiredToken}`,
        ran: "no",
    });
    return { kind: "refused", code: TokenCode.wrongScope, reply };
}
