/**
 * Token streams that are resumed on another model engine.
 */
package org.wigeontally.streams;
