/** Tests of orders to engines. */
package org.wigeontally.orders;
