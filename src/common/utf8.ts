/** Cutting text so that it can be encoded as UTF-8, in whose bytes stores and connections measure it. */

/** The longest character. */
const MAX_CHARACTER_BYTES = 4;
/** The highest code point that takes one UTF-16 unit. */
const MAX_UNIT = 0xFFFF;
/** The bits that all bytes of a character after its first have in common. */
const CONTINUATION_MASK = 0b1100_0000;
const CONTINUATION = 0b1000_0000;

/**
 * Splits text between characters.
 *
 * @remarks A part that ended between the two UTF-16 units of a character could not be encoded: each unit would
 * become a replacement character.
 * @param maxBytes - Longest part, in bytes; at least that of one character.
 * @returns The parts in order; none for an empty text.
 */
export function splitUtf8(text: string, maxBytes: number): readonly string[] {
    const bytes = Buffer.from(text);
    const limit = Math.max(maxBytes, MAX_CHARACTER_BYTES);
    const parts: string[] = [];
    for (let start = 0; start < bytes.length;) {
        const end = findCharacterStart(bytes, start + limit);
        parts.push(bytes.toString("utf8", start, end));
        start = end;
    }
    return parts;
}

/**
 * Returns the beginning of a text, without half of a character at its end.
 * @param maxLength - Longest result, in UTF-16 units.
 */
export function truncateText(text: string, maxLength: number): string {
    const isWithinCharacter = text.length > maxLength && (text.codePointAt(maxLength - 1) ?? 0) > MAX_UNIT;
    return text.slice(0, isWithinCharacter ? maxLength - 1 : maxLength);
}

/** Finds the start of the character that contains a byte; the end of the text if there is none. */
function findCharacterStart(bytes: Buffer, offset: number): number {
    let start = Math.min(offset, bytes.length);
    while (start < bytes.length && ((bytes[start] ?? 0) & CONTINUATION_MASK) === CONTINUATION) {
        start -= 1;
    }
    return start;
}
