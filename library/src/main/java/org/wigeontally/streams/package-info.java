/**
 * Token streams that are resumed on another model engine, or run on several at once.
 */
package org.wigeontally.streams;
