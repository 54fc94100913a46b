/**
 * Carries out the spreading of weights over HTTP: serves chunks and chunk maps, fetches
 * what the scheduler asks for, orders engines to load.
 */
package org.wigeontally.spread;
