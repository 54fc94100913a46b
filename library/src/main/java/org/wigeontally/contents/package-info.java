/**
 * How the content of large records of the store reaches all entries: compressed, in
 * parts, and over the border of a region as few times as possible. No input or output.
 */
package org.wigeontally.contents;
