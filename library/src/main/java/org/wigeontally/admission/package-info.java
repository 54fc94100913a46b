/**
 * The agent's decision which requests a backend server runs, now or soon.
 */
package org.wigeontally.admission;
