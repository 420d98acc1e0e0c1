/**
 * Selection of the engines that a request passes through.
 */
package org.burdocktray.request.path;
