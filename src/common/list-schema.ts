/** Schemas of lists that other programs send and that may have any length. */
import { z } from "zod";

/**
 * Builds the schema of a list that is checked up to its first faulty element. A list of all faults could be far larger
 * than the text it came from.
 * @param element - Schema of each element.
 */
export function listOf<Element extends z.ZodType>(element: Element) {
    return z.array(z.unknown()).transform((items, context): z.output<Element>[] => {
        const decoded: z.output<Element>[] = [];
        for (const [index, item] of items.entries()) {
            const parsed = element.safeParse(item);
            if (!parsed.success) {
                context.addIssue({ code: "custom", message: `element ${index} does not match the schema` });
                return z.NEVER;
            }
            decoded.push(parsed.data);
        }
        return decoded;
    });
}
