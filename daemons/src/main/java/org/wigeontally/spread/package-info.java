/**
 * Distributes model weights between hosts over HTTP: serves chunks and chunk maps to
 * peers, fetches the chunks that the scheduler selects, and orders engines to load.
 */
package org.wigeontally.spread;
