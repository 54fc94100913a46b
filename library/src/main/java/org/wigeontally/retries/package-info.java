/**
 * Retries and hedging at the entry, limited by deadlines and retry budgets.
 */
package org.wigeontally.retries;
