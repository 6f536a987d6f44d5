package io.lavenderhinge.instance

import com.github.ajalt.clikt.core.main

fun main(arguments: Array<String>) = InstanceCommand().main(arguments)
