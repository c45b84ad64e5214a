/**
 * The handshake of a link between entries, exchanged before any {@link PeerMessage}.
 *
 * @remarks The dialer sends `hello`, the acceptor `welcome`, the dialer `confirm`, the acceptor `ready`. Both
 * prove that they know the cell's secret by an HMAC over both nonces. The secret itself is never sent, and a
 * recorded handshake cannot be replayed on another link.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { z } from "zod";

/** Version of the protocol between entries. Entries of different versions refuse to link. */
export const PROTOCOL_VERSION = 1;

/** Largest frame accepted from an unauthenticated peer, that is, before its proof is verified. */
export const MAX_HANDSHAKE_BYTES = 4_096;

const NONCE_BYTES = 16;
const MAX_TOKEN_BYTES = 64;
const MAX_NAME_LENGTH = 256;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const token = z.custom<Uint8Array>(
    value => value instanceof Uint8Array && value.length >= NONCE_BYTES && value.length <= MAX_TOKEN_BYTES,
    "expected a nonce or a proof",
);

/** First frame: the dialer identifies itself. */
export const helloSchema = z.object({
    kind: z.literal("hello"),
    version: z.int(),
    cell: name,
    memberId: name,
    nonce: token,
});
/** Second frame: the acceptor identifies itself and proves that it knows the secret. */
export const welcomeSchema = z.object({
    kind: z.literal("welcome"),
    version: z.int(),
    cell: name,
    memberId: name,
    nonce: token,
    proof: token,
});
/** Third frame: the dialer proves that it knows the secret. */
export const confirmSchema = z.object({
    kind: z.literal("confirm"),
    proof: token,
    linkNumber: z.int().nonnegative(),
});
/** Fourth frame: the acceptor has verified the proof, and messages may follow. */
export const readySchema = z.object({
    kind: z.literal("ready"),
    linkNumber: z.int().nonnegative(),
});
/** Sent instead of a handshake frame before the link is closed, so that the other side can log the reason. */
export const refusalSchema = z.object({
    kind: z.literal("refused"),
    reason: z.string().max(MAX_NAME_LENGTH),
});

/** A validated `hello`. */
export type Hello = z.output<typeof helloSchema>;
/** A validated `welcome`. */
export type Welcome = z.output<typeof welcomeSchema>;

/** The end of the connection that a proof belongs to. */
export type HandshakeSide = "dialer" | "acceptor";

/** Identities and nonces of both ends, over which the proofs are computed. */
export interface HandshakeTranscript {
    readonly cell: string;
    readonly dialerId: string;
    readonly acceptorId: string;
    readonly dialerNonce: Uint8Array;
    readonly acceptorNonce: Uint8Array;
}

/** Returns cryptographically random bytes for one handshake. */
export function makeNonce(): Uint8Array {
    return randomBytes(NONCE_BYTES);
}

/**
 * Computes the proof of one side.
 * @param secret - The cell's shared secret.
 * @param side - Whose proof it is. It is part of the HMAC, so that a proof cannot be reflected to its sender.
 */
export function computeProof(
    secret: string,
    side: HandshakeSide,
    transcript: HandshakeTranscript,
): Uint8Array {
    const hmac = createHmac("sha256", secret);
    const parts = [side, transcript.cell, transcript.dialerId, transcript.acceptorId];
    // JSON delimits the parts, so that no two different transcripts give the same text.
    hmac.update(JSON.stringify(parts));
    hmac.update(transcript.dialerNonce);
    hmac.update(transcript.acceptorNonce);
    return hmac.digest();
}

/**
 * Verifies the other side's proof in constant time.
 * @returns Whether the other side knows the secret.
 */
export function verifyProof(
    secret: string,
    side: HandshakeSide,
    transcript: HandshakeTranscript,
    proof: Uint8Array,
): boolean {
    const expected = computeProof(secret, side, transcript);
    return proof.length === expected.length && timingSafeEqual(proof, expected);
}
