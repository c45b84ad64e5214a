/** Seeded random numbers: equal seeds give equal decisions. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers. */
export interface Random {
    /**
     * @param bound - Exclusive upper bound, at least 1.
     * @returns An integer from 0 to `bound - 1`, uniformly distributed.
     */
    pickInt(bound: number): number;
    /** @returns A number from 0 (inclusive) to 1 (exclusive), uniformly distributed. */
    pickFraction(): number;
}

const FRACTION_STEPS = 2 ** 31;

/**
 * Creates a seeded random source (xoroshiro128+).
 * @param seed - Any 32-bit integer.
 * @returns A source that produces the same sequence for the same seed.
 */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return {
        pickInt: bound => uniformInt(generator, 0, bound - 1),
        pickFraction: () => uniformInt(generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS,
    };
}

/**
 * Makes an identifier that is unique across processes with overwhelming probability.
 * @returns 20 lower-case letters and digits (about 103 bits).
 */
export function makeUniqueId(random: Random): string {
    let id = "";
    for (let length = 0; length < UNIQUE_ID_LENGTH; length++) {
        id += UNIQUE_ID_ALPHABET[random.pickInt(UNIQUE_ID_ALPHABET.length)];
    }
    return id;
}

const UNIQUE_ID_LENGTH = 20;
const UNIQUE_ID_ALPHABET = "0123456789abcdefghijklmnopqrstuvwxyz";
