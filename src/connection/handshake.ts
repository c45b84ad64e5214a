/**
 * The first frames of a link between entries, before any {@link PeerMessage}.
 *
 * @remarks The dialer sends `hello`, the acceptor `welcome`, the dialer `confirm`, the acceptor `ready`. Both
 * prove that they know the cell's secret by an HMAC over both nonces, so the secret itself never travels and a
 * recorded handshake is of no use for another link.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { z } from "zod";

/** Version of the protocol between entries. Entries of different versions do not link. */
export const PROTOCOL_VERSION = 1;

/** Largest frame of a stranger, that is, before the proof is checked. */
export const MAX_HANDSHAKE_BYTES = 4_096;

const NONCE_BYTES = 16;
const MAX_TOKEN_BYTES = 64;
const MAX_NAME_LENGTH = 256;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const token = z.custom<Uint8Array>(
    value => value instanceof Uint8Array && value.length >= NONCE_BYTES && value.length <= MAX_TOKEN_BYTES,
    "expected a nonce or a proof",
);

/** The dialer says who it is. */
export const helloSchema = z.object({
    kind: z.literal("hello"),
    version: z.int(),
    cell: name,
    memberId: name,
    nonce: token,
});
/** The acceptor says who it is and proves it. */
export const welcomeSchema = z.object({
    kind: z.literal("welcome"),
    version: z.int(),
    cell: name,
    memberId: name,
    nonce: token,
    proof: token,
});
/** The dialer proves who it is. */
export const confirmSchema = z.object({
    kind: z.literal("confirm"),
    proof: token,
    linkNumber: z.int().nonnegative(),
});
/** The acceptor has checked the proof: messages may follow. */
export const readySchema = z.object({
    kind: z.literal("ready"),
    linkNumber: z.int().nonnegative(),
});
/** Sent instead of a handshake frame just before the link is closed, so that the other side can say why. */
export const refusalSchema = z.object({
    kind: z.literal("refused"),
    reason: z.string().max(MAX_NAME_LENGTH),
});

/** A `hello` that was checked. */
export type Hello = z.output<typeof helloSchema>;
/** A `welcome` that was checked. */
export type Welcome = z.output<typeof welcomeSchema>;

/** Which end of the connection proves itself. */
export type HandshakeSide = "dialer" | "acceptor";

/** What both ends have said, over which the proofs are computed. */
export interface HandshakeTranscript {
    readonly cell: string;
    readonly dialerId: string;
    readonly acceptorId: string;
    readonly dialerNonce: Uint8Array;
    readonly acceptorNonce: Uint8Array;
}

/** @returns Unpredictable bytes for one handshake. */
export function makeNonce(): Uint8Array {
    return randomBytes(NONCE_BYTES);
}

/**
 * Computes the proof of one side.
 * @param secret - The cell's shared secret.
 * @param side - Whose proof; the sides differ so that a proof cannot be sent back as one's own.
 * @param transcript - What was said.
 */
export function computeProof(
    secret: string,
    side: HandshakeSide,
    transcript: HandshakeTranscript,
): Uint8Array {
    const hmac = createHmac("sha256", secret);
    const parts = [side, transcript.cell, transcript.dialerId, transcript.acceptorId];
    // JSON keeps the parts apart: no two different transcripts give the same text.
    hmac.update(JSON.stringify(parts));
    hmac.update(transcript.dialerNonce);
    hmac.update(transcript.acceptorNonce);
    return hmac.digest();
}

/**
 * Checks the other side's proof, in a time that does not depend on where it differs.
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
