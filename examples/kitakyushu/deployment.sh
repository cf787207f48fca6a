# The deployment of Kitakyushu, for the scripts.
zones=(kokura yahata moji)
services=(crew-link:7 sheet-desk:3) # name and number of backend servers
owners=(city works)
traced=pass-report # class of the request that the demo shows hop by hop
