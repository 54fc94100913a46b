/**
 * Streams of tokens that move from one model engine to another.
 */
package org.wigeontally.streams;
