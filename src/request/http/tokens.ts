/** Bearer tokens: who a request comes from, and whether a route takes it. */
import * as crypto from "node:crypto";
import type { SettingsVersion } from "../../version/settings.js";
import { Access } from "./exchange.js";
import type { HttpReply, Identity } from "./exchange.js";
import { buildError } from "./replies.js";

/** A token of an operator, from the entry's settings. */
export interface OperatorToken {
    readonly name: string;
    /** SHA-256 of the token, in hexadecimal. */
    readonly sha256: string;
}

/** Codes of docs/WARNINGS.md. */
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

/** Hexadecimal digits of a hash that pick the tokens to compare. */
const BUCKET_DIGITS = 4;
const CALLER_PATTERN = /^[\w.:@-]{1,64}$/;

/** Knows all tokens of one settings version and of the entry's settings. */
export class TokenTable {
    private settings: SettingsVersion | undefined;
    private buckets = new Map<string, KnownToken[]>();

    /** @param operators - Tokens from the entry's settings. */
    constructor(private readonly operators: readonly OperatorToken[]) {
        this.rebuild();
    }

    /**
     * Finds whose token it is.
     *
     * @remarks The hash picks a few candidates and is compared with each in constant time. The time that the
     * pick takes tells at most a few digits of the hash, from which nobody can make a token.
     * @param settings - The version in force; teams' tokens stand in it.
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

/** By the one call that newer versions of Node have, which costs a third. */
function hashToken(token: string): Buffer {
    const { hash }: Partial<Pick<typeof crypto, "hash">> = crypto;
    return hash?.("sha256", token, "buffer") ?? crypto.createHash("sha256").update(token).digest();
}

const accessTable: Readonly<Record<Access, readonly Identity["kind"][]>> = {
    [Access.open]: [],
    [Access.team]: ["team"],
    [Access.operator]: ["operator"],
    [Access.reader]: ["team", "operator"],
};

/**
 * Decides whether a request may use a route.
 * @param access - Whose tokens the route takes.
 * @param authorization - The header, if there was one.
 * @param callerId - Who the team says asks, for fairness between a team's callers.
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
    if (!accessTable[access].includes(identity.kind)) {
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
    const wanted = access === Access.team ? "a team's token" : "an operators' token";
    const reply = buildError(403, {
        kind: "forbidden",
        message: "the token may not be used here",
        remedy: `use ${wanted}`,
        ran: "no",
    });
    return { kind: "refused", code: TokenCode.wrongScope, reply };
}
