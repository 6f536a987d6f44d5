package io.lavenderhinge.core.forwarding

/**
 * One part of a prompt. Requests share parts with the same [id]; a server does not read a part
 * again that is in its cache together with all parts before it.
 */
data class PromptPart(val id: String, val tokens: Int)
